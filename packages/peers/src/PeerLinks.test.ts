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

function insecureCredentials(): Credentials {
  return {
    serverCredentials: ServerCredentials.createInsecure(),
    channelCredentials: ChannelCredentials.createInsecure(),
  };
}

/** Credentials for mutual TLS with a certificate issued to this name. */
function mutualTlsCredentials(authority: TestCertificates, name: string): Credentials {
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

function createLinks(selfEntryId: string, credentials: Credentials): PeerLinks {
  const options = { selfEntryId, listenAddress: '127.0.0.1:0', ...credentials };
  return new PeerLinks(options, clock, new Random(1));
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await clock.sleep(POLL_MS);
}

describe('PeerLinks', () => {
  it('rejects messages while down, reports link changes and counts traffic', async (t) => {
    const [a, b] = [
      createLinks('a', insecureCredentials()),
      createLinks('b', insecureCredentials()),
    ];
    const address = (await b.listen()).unwrapOr('');
    const changes: unknown[] = [];
    const received: unknown[] = [];
    a.onLink((change) => changes.push(change));
    b.onMessage((message) => received.push(message));
    a.setPeers([{ entryId: 'b', address }]);
    t.notOk(a.send('b', MESSAGE), 'the link is not up yet');
    await waitUntil(() => changes.length === 1);
    t.ok(a.send('b', MESSAGE));
    await waitUntil(() => received.length === 1);
    t.same(received, [{ fromEntryId: 'a', message: MESSAGE }]);
    t.equal(a.counters.sentMessages, 1);
    t.equal(b.counters.receivedMessages, 1);
    t.equal(a.counters.sentBytes, b.counters.receivedBytes);
    b.dispose();
    await waitUntil(() => changes.length === 2);
    t.same(changes, [
      { entryId: 'b', up: true },
      { entryId: 'b', up: false },
    ]);
    t.notOk(a.send('b', MESSAGE));
    a.dispose();
  });

  it('drops batches whose sender id differs from the name in the certificate', async (t) => {
    const authority = new TestCertificates();
    const b = createLinks('b', mutualTlsCredentials(authority, 'b'));
    const address = (await b.listen()).unwrapOr('');
    const received: string[] = [];
    b.onMessage(({ fromEntryId }) => received.push(fromEntryId));
    const genuine = createLinks('a', mutualTlsCredentials(authority, 'a'));
    const impostor = createLinks('c', mutualTlsCredentials(authority, 'a'));
    genuine.setPeers([{ entryId: 'b', address }]);
    impostor.setPeers([{ entryId: 'b', address }]);
    await waitUntil(() => impostor.send('b', MESSAGE));
    await waitUntil(() => b.counters.spoofedBatches === 1);
    await waitUntil(() => genuine.send('b', MESSAGE));
    await waitUntil(() => received.length === 1);
    t.same(received, ['a']);
    [genuine, impostor, b].forEach((links) => links.dispose());
  });
});
