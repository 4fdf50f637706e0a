/**
 * Renewed key files must take effect without a restart, and only entries with a certificate of the
 * deployment's authority may connect to each other.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Random, SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { PeerLinks } from '@acaciadock/peers';
import { type CertifiedKey, TestCertificates } from '@acaciadock/testkit';
import { KeyFiles, type KeyFilesFailure } from './KeyFiles.js';
import { peerCredentials } from './peerCredentials.js';

const RELOAD_PERIOD_MS = 60_000;
const LINK_TIMEOUT_MS = 3_000;
const POLL_MS = 20;

async function withFolder(body: (folder: string) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'acaciadock-tls-'));
  try {
    await body(folder);
  } finally {
    await rm(folder, { recursive: true });
  }
}

async function save(folder: string, name: string, pair: CertifiedKey): Promise<void> {
  await writeFile(join(folder, `${name}.crt`), pair.cert);
  await writeFile(join(folder, `${name}.key`), pair.key);
}

const keyFilePaths = (folder: string, name: string): { certFile: string; keyFile: string } => ({
  certFile: join(folder, `${name}.crt`),
  keyFile: join(folder, `${name}.key`),
});

async function openLinks(folder: string, entryId: string, caFile: string): Promise<PeerLinks> {
  const clock = new SystemClock();
  const tls = { ...keyFilePaths(folder, entryId), caFile: join(folder, caFile) };
  const credentials = peerCredentials(tls, RELOAD_PERIOD_MS);
  const options = { selfEntryId: entryId, listenAddress: '127.0.0.1:0', ...credentials };
  return new PeerLinks(options, clock, new Random(1));
}

/** Returns whether a message from `from` arrives at `to` before the timeout. */
async function arrives(from: PeerLinks, to: PeerLinks, address: string): Promise<boolean> {
  const clock = new SystemClock();
  let arrived = false;
  to.onMessage(() => {
    arrived = true;
  });
  from.setPeers([{ entryId: to.selfEntryId, address }]);
  const untilMs = clock.monotonicMs() + LINK_TIMEOUT_MS;
  while (!arrived && clock.monotonicMs() < untilMs) {
    from.send(to.selfEntryId, { kind: 'tickets-cancelled', ticketIds: [] });
    await clock.sleep(POLL_MS);
  }
  return arrived;
}

describe('TLS', () => {
  describe('KeyFiles', () => {
    it('uses a renewed pair, and keeps the last valid one on a mismatch', async (t) => {
      await withFolder(async (folder) => {
        const authority = new TestCertificates();
        await save(folder, 'entry', authority.issue('e1'));
        const opened = await KeyFiles.open(
          keyFilePaths(folder, 'entry'),
          new SystemClock(),
          RELOAD_PERIOD_MS,
        );
        const files = opened.unwrapOr(undefined);
        if (!files) {
          t.fail('the first pair is valid');
          return;
        }
        const failures: KeyFilesFailure[] = [];
        files.onFailure((failure) => failures.push(failure));
        const renewed = authority.issue('e1');
        await writeFile(join(folder, 'entry.crt'), renewed.cert);
        await files.reload();
        t.match(failures, [{ kind: 'key-files-not-usable' }]);
        t.not(String(files.options.cert), renewed.cert);
        await save(folder, 'entry', renewed);
        await files.reload();
        t.equal(String(files.options.cert), renewed.cert);
        files.dispose();
      });
    });

    it('reports a missing file with the kind of the failure', async (t) => {
      const settings = { certFile: 'no-such.crt', keyFile: 'no-such.key' };
      const opened = await KeyFiles.open(settings, new SystemClock(), RELOAD_PERIOD_MS);
      t.match(opened.isErr() && opened.error, { kind: 'key-files-not-usable' });
    });
  });

  describe('links between entries', () => {
    const CASES = [
      {
        name: 'connect when both certificates are issued by the same authority',
        sameAuthority: true,
        expected: true,
      },
      {
        name: 'do not connect with a certificate of another authority',
        sameAuthority: false,
        expected: false,
      },
    ];
    CASES.forEach(({ name, sameAuthority, expected }) => {
      it(name, async (t) => {
        await withFolder(async (folder) => {
          const authority = new TestCertificates();
          const senderAuthority = sameAuthority ? authority : new TestCertificates();
          await save(folder, 'e1', senderAuthority.issue('e1'));
          await save(folder, 'e2', authority.issue('e2'));
          await writeFile(join(folder, 'ca.crt'), authority.caCert);
          const sender = await openLinks(folder, 'e1', 'ca.crt');
          const receiver = await openLinks(folder, 'e2', 'ca.crt');
          const address = (await receiver.listen()).unwrapOr('');
          t.equal(await arrives(sender, receiver, address), expected);
          sender.dispose();
          receiver.dispose();
        });
      });
    });
  });
});
