/** Tests which failures of a call to the owner leave its outcome open. */
import { type JobCall, type JobReply } from '@acaciadock/coordinator';
import { SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { freeAddresses } from '@acaciadock/core/testing/addresses';
import {
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  type UntypedHandleCall,
} from '@grpc/grpc-js';
import { type AddressInfo, connect, createServer, type Server as NetServer } from 'node:net';
import { PeerCallClient, UNREACHABLE } from './PeerCallClient.js';
import { callMethod } from './PeerCalls.js';
import { PeerCallServer } from './PeerCallServer.js';
import { JobWorld } from './testing/JobWorld.js';

const CANCEL: JobCall = { kind: 'cancel', context: JobWorld.context(), jobId: 'j' };

function createServerOf(answer: () => Promise<JobReply>): PeerCallServer {
  const notice = {
    notice: undefined,
    isHealthyOwner: false,
    isLoading: false,
    isServedByStore: false,
  };
  return new PeerCallServer({ call: answer }, () => notice);
}

describe('PeerCallClient', () => {
  it('refuses a call to an owner that it cannot reach, since nothing was sent', async (t) => {
    const [address = ''] = await freeAddresses(1);
    const client = new PeerCallClient(address, new SystemClock());
    t.match(await client.call(CANCEL), { kind: 'refused', reason: UNREACHABLE });
    client.dispose();
  });

  it('refuses a call whose channel is closed before it is sent', async (t) => {
    const [address = ''] = await freeAddresses(1);
    const client = new PeerCallClient(address, new SystemClock());
    const reply = client.call(CANCEL);
    client.dispose();
    t.match(await reply, { kind: 'refused', reason: UNREACHABLE });
  });

  it('reports an unknown outcome if the owner ends while it has the call', async (t) => {
    let received: () => void = () => undefined;
    const isReceived = new Promise<void>((resolve) => {
      received = resolve;
    });
    const unanswered: ((reply: JobReply) => void)[] = [];
    const server = createServerOf(() => {
      received();
      return new Promise((resolve) => {
        unanswered.push(resolve);
      });
    });
    const address = (await server.listen('127.0.0.1:0'))._unsafeUnwrap();
    const client = new PeerCallClient(address, new SystemClock());
    const reply = client.call(CANCEL);
    await isReceived;
    server.dispose();
    t.match(await reply, { kind: 'unknown-outcome' });
    client.dispose();
  });

  it('passes on the reply of the owner', async (t) => {
    const server = createServerOf(() => Promise.resolve({ kind: 'cancelled' }));
    const address = (await server.listen('127.0.0.1:0'))._unsafeUnwrap();
    const client = new PeerCallClient(address, new SystemClock());
    t.same(await client.call(CANCEL), { kind: 'cancelled' });
    client.dispose();
    server.dispose();
  });
});

const NO_REPLY = new Promise<JobReply>(() => {
  // Never settles.
});

/** Server of a build without streams. */
async function startFormerServer(answer: () => Promise<JobReply>): Promise<[Server, string]> {
  const server = new Server();
  const handle: UntypedHandleCall = (
    _call: ServerUnaryCall<JobCall, JobReply>,
    done: sendUnaryData<JobReply>,
  ) => {
    void answer().then((reply) => done(null, reply));
  };
  server.addService({ call: callMethod }, { call: handle });
  const port = await new Promise<number>((resolve) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, bound) =>
      resolve(bound),
    );
  });
  return [server, `127.0.0.1:${port}`];
}

/** Forwards the first connection to the server; further ones are accepted and get no answer. */
async function startProxy(address: string): Promise<[NetServer, string]> {
  const port = Number(address.split(':')[1]);
  let count = 0;
  const proxy = createServer((socket) => {
    count += 1;
    socket.unref();
    if (count > 1) return;
    const upstream = connect(port, '127.0.0.1');
    socket.pipe(upstream).pipe(socket);
    [socket, upstream].forEach((one) => one.on('error', () => one.destroy()));
  });
  await new Promise<void>((resolve) => {
    proxy.listen(0, '127.0.0.1', resolve);
  });
  return [proxy, `127.0.0.1:${(proxy.address() as AddressInfo).port}`];
}

describe('PeerCallClient at a busy owner', () => {
  it('needs no new connection after a call without a reply while it answers others', async (t) => {
    // Fails if a timeout closes the connection: a busy owner does not accept another one in time.
    let count = 0;
    const server = createServerOf(() => {
      count += 1;
      return count === 1 ? NO_REPLY : Promise.resolve({ kind: 'cancelled' });
    });
    const clock = new SystemClock();
    const [proxy, address] = await startProxy((await server.listen('127.0.0.1:0'))._unsafeUnwrap());
    const client = new PeerCallClient(address, clock);
    const slow = client.call(CANCEL);
    await clock.sleep(600);
    t.match(await client.call(CANCEL), { kind: 'cancelled' });
    t.match(await slow, { kind: 'unknown-outcome' });
    t.match(await client.call(CANCEL), { kind: 'cancelled' });
    client.dispose();
    server.dispose();
    proxy.close();
  });

  it('keeps the other calls when one gets no reply in time', async (t) => {
    // Fails if the channel that all calls share is closed although the owner answers.
    const held: ((reply: JobReply) => void)[] = [];
    let count = 0;
    const server = createServerOf(() => {
      count += 1;
      if (count === 1) return NO_REPLY;
      if (count < 4) return Promise.resolve({ kind: 'cancelled' });
      return new Promise((resolve) => {
        held.push(resolve);
      });
    });
    const clock = new SystemClock();
    const address = (await server.listen('127.0.0.1:0'))._unsafeUnwrap();
    const client = new PeerCallClient(address, clock);
    const slow = client.call(CANCEL);
    await clock.sleep(600);
    t.match(await client.call(CANCEL), { kind: 'cancelled' });
    t.match(await client.call(CANCEL), { kind: 'cancelled' });
    const open = client.call(CANCEL);
    t.match(await slow, { kind: 'unknown-outcome', reason: 'coordinator-timeout' });
    held.forEach((resolve) => resolve({ kind: 'cancelled' }));
    t.match(await open, { kind: 'cancelled' });
    client.dispose();
    server.dispose();
  });

  it('opens a new channel when nothing has arrived since the call was sent', async (t) => {
    const answers = [NO_REPLY];
    const server = createServerOf(() => answers.pop() ?? Promise.resolve({ kind: 'cancelled' }));
    const address = (await server.listen('127.0.0.1:0'))._unsafeUnwrap();
    const client = new PeerCallClient(address, new SystemClock());
    t.match(await client.call(CANCEL), { kind: 'unknown-outcome' });
    t.match(await client.call(CANCEL), { kind: 'cancelled' });
    client.dispose();
    server.dispose();
  });

  it('passes on each reply to its own call, whatever their order', async (t) => {
    const waiting: ((reply: JobReply) => void)[] = [];
    const server = createServerOf(
      () =>
        new Promise((resolve) => {
          waiting.push(resolve);
          if (waiting.length < 3) return;
          waiting.reverse().forEach((settle, index) => settle({ kind: 'waiting', count: index }));
        }),
    );
    const address = (await server.listen('127.0.0.1:0'))._unsafeUnwrap();
    const client = new PeerCallClient(address, new SystemClock());
    const replies = await Promise.all([1, 2, 3].map(() => client.call(CANCEL)));
    t.same(
      replies.map((reply) => reply.kind === 'waiting' && reply.count),
      [2, 1, 0],
    );
    client.dispose();
    server.dispose();
  });

  it('leaves the other calls alone when one is malformed', async (t) => {
    const server = createServerOf(() => Promise.resolve({ kind: 'cancelled' }));
    const address = (await server.listen('127.0.0.1:0'))._unsafeUnwrap();
    const client = new PeerCallClient(address, new SystemClock());
    const malformed = { ...CANCEL, jobId: 7 } as unknown as JobCall;
    const replies = await Promise.all([client.call(malformed), client.call(CANCEL)]);
    t.match(replies, [{ kind: 'unknown-outcome' }, { kind: 'cancelled' }]);
    client.dispose();
    server.dispose();
  });
});

describe('PeerCallClient at an owner of the former build', () => {
  it('calls it one by one', async (t) => {
    const [server, address] = await startFormerServer(() => Promise.resolve({ kind: 'cancelled' }));
    const client = new PeerCallClient(address, new SystemClock());
    t.same(await Promise.all([client.call(CANCEL), client.call(CANCEL)]), [
      { kind: 'cancelled' },
      { kind: 'cancelled' },
    ]);
    t.match(await client.call(CANCEL), { kind: 'cancelled' });
    client.dispose();
    server.forceShutdown();
  });
});
