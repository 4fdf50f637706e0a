/** Tests the link between two processes over real sockets. */
import { SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { Server, ServerCredentials } from '@grpc/grpc-js';
import { PeerCallServer } from '../PeerCallServer.js';
import { RecordingPort } from '../testing/RecordingPort.js';
import { GrpcRelayLink } from './GrpcRelayLink.js';
import { type TargetCall } from './RelayMessages.js';
import { RelaySession } from './RelaySession.js';

const clock = new SystemClock();
const ORDER = { taskId: 'a.0.0.0', run: 1, fencingToken: 7 };
const STOP: TargetCall = {
  kind: 'stop',
  target: { targetId: 't', address: 'h:1' },
  request: ORDER,
};

function createServer(): PeerCallServer {
  const answer = {
    notice: undefined,
    isHealthyOwner: false,
    isLoading: false,
    isServedByStore: false,
  };
  return new PeerCallServer(
    { call: () => Promise.resolve({ kind: 'cancelled' }) },
    () => answer,
    (transmit) => new RelaySession(new RecordingPort(), clock, transmit),
  );
}

async function waitUntilOpen(link: GrpcRelayLink): Promise<void> {
  for (let tries = 0; tries < 500 && !link.isOpen; tries += 1) await clock.sleep(10);
}

describe('GrpcRelayLink', () => {
  it('carries calls and their replies', async (t) => {
    const server = createServer();
    const address = (await server.listen('127.0.0.1:0'))._unsafeUnwrap();
    const link = new GrpcRelayLink(address, clock);
    await waitUntilOpen(link);
    const replies = await Promise.all([link.call(STOP, 5_000), link.call(STOP, 5_000)]);
    const receipt = { kind: 'receipt', receipt: { clockMs: 4 } };
    t.same(
      replies.map((reply) => reply.unwrapOr(undefined)),
      [receipt, receipt],
    );
    link.dispose();
    server.dispose();
  });

  it('ends the calls under way when the relay ends', async (t) => {
    const server = createServer();
    const address = (await server.listen('127.0.0.1:0'))._unsafeUnwrap();
    const link = new GrpcRelayLink(address, clock);
    await waitUntilOpen(link);
    const failed = new Promise((resolve) => {
      link.onFailed(resolve);
    });
    server.dispose();
    await failed;
    t.notOk(link.isOpen);
    t.match((await link.call(STOP, 5_000))._unsafeUnwrapErr(), { kind: 'not-sent' });
    link.dispose();
  });

  it('never opens to an entry of a build that does not relay', async (t) => {
    const server = new Server();
    const port = await new Promise<number>((resolve) => {
      server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, bound) =>
        resolve(bound),
      );
    });
    const link = new GrpcRelayLink(`127.0.0.1:${port}`, clock);
    const reason = await new Promise((resolve) => {
      link.onFailed(resolve);
    });
    t.equal(reason, 'UNIMPLEMENTED');
    t.notOk(link.isOpen);
    link.dispose();
    server.forceShutdown();
  });
});
