import { Random, SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { TestCertificates } from '@acaciadock/testkit';
import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';
import { type PeerMessage } from './messages/PeerMessage.js';
import { PeerLinks } from './PeerLinks.js';

const POLL_MS = 5;
const MESSAGE: PeerMessage = { kind: 'tickets-cancelled', ticketIds: ['t1'] };
const clock = new SystemClock();

interface Credentials {
  readonly serverCredentials: ServerCredentials;
  readonly channelCredentials: ChannelCredentials;
}

function plain(): Credentials {
  return {
    serverCredentials: ServerCredentials.createInsecure(),
    channelCredentials: ChannelCredentials.createInsecure(),
  };
}

/** Mutual TLS with a certificate of this name. */
function certified(authority: TestCertificates, name: string): Credentials {
  const { cert, key } = authority.issue(name);
  const root = Buffer.from(authority.caCert);
  const pair = { private_key: Buffer.from(key), cert_chain: Buffer.from(cert) };
  return {
    serverCredentials: ServerCredentials.createSsl(root, [pair], true),
    channelCredentials: ChannelCredentials.createSsl(root, pair.private_key, pair.cert_chain, {
      checkServerIdentity: () => undefined,
    }),
  };
}

function linksOf(selfEntryId: string, credentials: Credentials): PeerLinks {
  const options = { selfEntryId, listenAddress: '127.0.0.1:0', ...credentials };
  return new PeerLinks(options, clock, new Random(1));
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await clock.sleep(POLL_MS);
}

describe('PeerLinks', () => {
  it('refuses while the link is down, tells when it is up, and counts both ends', async (t) => {
    const [a, b] = [linksOf('a', plain()), linksOf('b', plain())];
    const address = (await b.listen()).unwrapOr('');
    const changes: unknown[] = [];
    const received: unknown[] = [];
    a.onLink((change) => changes.push(change));
    b.onMessage((message) => received.push(message));
    a.setPeers([{ entryId: 'b', address }]);
    t.notOk(a.send('b', MESSAGE), 'not up yet');
    await until(() => changes.length === 1);
    t.ok(a.send('b', MESSAGE));
    await until(() => received.length === 1);
    t.same(received, [{ fromEntryId: 'a', message: MESSAGE }]);
    t.equal(a.counters.sentMessages, 1);
    t.equal(b.counters.receivedMessages, 1);
    t.equal(a.counters.sentBytes, b.counters.receivedBytes);
    b.dispose();
    await until(() => changes.length === 2);
    t.same(changes, [
      { entryId: 'b', up: true },
      { entryId: 'b', up: false },
    ]);
    t.notOk(a.send('b', MESSAGE));
    a.dispose();
  });

  it('drops what claims another name than its certificate', async (t) => {
    const authority = new TestCertificates();
    const b = linksOf('b', certified(authority, 'b'));
    const address = (await b.listen()).unwrapOr('');
    const received: string[] = [];
    b.onMessage(({ fromEntryId }) => received.push(fromEntryId));
    const honest = linksOf('a', certified(authority, 'a'));
    const liar = linksOf('c', certified(authority, 'a'));
    honest.setPeers([{ entryId: 'b', address }]);
    liar.setPeers([{ entryId: 'b', address }]);
    await until(() => liar.send('b', MESSAGE));
    await until(() => b.counters.foreignBatches === 1);
    await until(() => honest.send('b', MESSAGE));
    await until(() => received.length === 1);
    t.same(received, ['a']);
    [honest, liar, b].forEach((links) => links.dispose());
  });
});
