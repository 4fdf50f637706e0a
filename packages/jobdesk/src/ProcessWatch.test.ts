/** Tests what a watch over a real connection reports. */
import { SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { ProcessWatch } from './ProcessWatch.js';

const SETTLE_MS = 300;

interface Fixture {
  readonly server: Server;
  readonly sockets: Socket[];
  readonly address: string;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

async function listen(): Promise<Fixture> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    // Resets by the watch are part of the tests.
    socket.on('error', () => undefined);
    sockets.push(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { server, sockets, address: `127.0.0.1:${port}` };
}

describe('ProcessWatch', () => {
  it('reports that nothing listens any more', async (t) => {
    const { server, sockets, address } = await listen();
    const watch = new ProcessWatch(address, new SystemClock());
    let refusals = 0;
    watch.onRefused(() => {
      refusals += 1;
    });
    await sleep(SETTLE_MS);
    t.equal(refusals, 0, 'not while it listens');
    server.close();
    sockets.forEach((socket) => socket.destroy());
    await sleep(SETTLE_MS);
    t.ok(refusals > 0);
    watch.dispose();
  });

  it('does not take a reset connection for the end of the process', async (t) => {
    const { server, sockets, address } = await listen();
    const watch = new ProcessWatch(address, new SystemClock());
    let refusals = 0;
    watch.onRefused(() => {
      refusals += 1;
    });
    await sleep(SETTLE_MS);
    sockets.forEach((socket) => socket.resetAndDestroy());
    await sleep(SETTLE_MS);
    t.equal(refusals, 0);
    t.equal(sockets.length, 2, 'it has connected again');
    watch.dispose();
    await sleep(SETTLE_MS);
    server.close();
  });

  it('does not connect again once it is disposed', async (t) => {
    const { server, sockets, address } = await listen();
    const watch = new ProcessWatch(address, new SystemClock());
    await sleep(SETTLE_MS);
    watch.dispose();
    await sleep(SETTLE_MS);
    t.equal(sockets.length, 1);
    server.close();
  });
});
