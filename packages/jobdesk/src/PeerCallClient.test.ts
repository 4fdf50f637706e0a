/** Tests which failures of a call to the owner leave its outcome open. */
import { type JobCall, type JobReply } from '@acaciadock/coordinator';
import { SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { freeAddresses } from '@acaciadock/core/testing/addresses';
import { PeerCallClient, UNREACHABLE } from './PeerCallClient.js';
import { PeerCallServer } from './PeerCallServer.js';
import { JobWorld } from './testing/JobWorld.js';

const CANCEL: JobCall = { kind: 'cancel', context: JobWorld.context(), jobId: 'j' };

function createServer(answer: () => Promise<JobReply>): PeerCallServer {
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
    const server = createServer(() => {
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
    const server = createServer(() => Promise.resolve({ kind: 'cancelled' }));
    const address = (await server.listen('127.0.0.1:0'))._unsafeUnwrap();
    const client = new PeerCallClient(address, new SystemClock());
    t.same(await client.call(CANCEL), { kind: 'cancelled' });
    client.dispose();
    server.dispose();
  });
});
