/** Owner queries between entries over real gRPC channels. */
import { SilentLogger, SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type OwnerNotice, type PeerAnswer } from '@acaciadock/journal';
import { PeerCallServer } from './PeerCallServer.js';
import { PeerNoticeClient } from './PeerNoticeClient.js';

/** Longer than the first call of a process takes on a busy machine, in milliseconds. */
const TEST_TIMEOUT_MS = 10_000;

const NOTICE: OwnerNotice = {
  owner: { entryId: 'e1', bootMs: 1, peerAddress: '127.0.0.1:1', cpuMilli: 675 },
  epoch: 7,
  isReleased: false,
};

function createClient(): PeerNoticeClient {
  return new PeerNoticeClient(new SystemClock(), new SilentLogger(), TEST_TIMEOUT_MS);
}

async function answerOf(known: OwnerNotice | undefined): Promise<PeerAnswer | undefined> {
  const service = { call: () => Promise.resolve({ kind: 'cancelled' as const }) };
  const server = new PeerCallServer(service, () => ({
    notice: known,
    isHealthyOwner: known !== undefined,
    isLoading: false,
    isServedByStore: true,
  }));
  const address = (await server.listen('127.0.0.1:0'))._unsafeUnwrap();
  const answer = await createClient().exchangeNotice(address);
  server.dispose();
  return answer;
}

describe('PeerNoticeClient', () => {
  it('returns the announcement that the peer knows', async (t) => {
    // Fails if the request is empty: the gRPC library treats that as a missing request.
    t.same(await answerOf(NOTICE), {
      notice: NOTICE,
      isHealthyOwner: true,
      isLoading: false,
      isServedByStore: true,
    });
  });

  it('sends its own announcement to the peer', async (t) => {
    const received: (OwnerNotice | undefined)[] = [];
    const service = { call: () => Promise.resolve({ kind: 'cancelled' as const }) };
    const server = new PeerCallServer(service, (notice) => {
      received.push(notice);
      return { notice, isHealthyOwner: false, isLoading: false, isServedByStore: false };
    });
    const address = (await server.listen('127.0.0.1:0'))._unsafeUnwrap();
    const client = createClient();
    t.same((await client.exchangeNotice(address, NOTICE))?.notice, NOTICE);
    t.same(received, [NOTICE]);
    server.dispose();
  });

  it('returns no announcement from a peer that knows of none', async (t) => {
    const nothing = {
      notice: undefined,
      isHealthyOwner: false,
      isLoading: false,
      isServedByStore: true,
    };
    t.same(await answerOf(undefined), nothing);
  });

  it('gives up on an unreachable peer', async (t) => {
    const client = new PeerNoticeClient(new SystemClock(), new SilentLogger());
    t.equal(await client.exchangeNotice('127.0.0.1:1'), undefined);
  });
});
