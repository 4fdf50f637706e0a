/** Requests while TLS is on: HTTPS for callers, mutual TLS between entries. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SilentLogger, SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { TeamKey } from '@acaciadock/config';
import { Entry, type EntryAddresses, EntryTls, settingsSchema } from '@acaciadock/daemon';
import { CONFIG_STREAM } from '@acaciadock/platform';
import {
  ControlStandIn,
  DirectoryStandIn,
  exampleDocument,
  firstPatch,
  loopbackSettings,
  LogStandIn,
  TargetStandIn,
  TestCertificates,
} from '@acaciadock/testkit';
import { Agent, request } from 'undici';

const TEAM = 'bench-desk';
const ENTRY_IDS = ['e0', 'e1'];
const REQUESTS = 20;
const POLL_MS = 20;

async function writeKeyFiles(folder: string, authority: TestCertificates): Promise<void> {
  await writeFile(join(folder, 'ca.crt'), authority.caCert);
  for (const entryId of ENTRY_IDS) {
    const { cert, key } = authority.issue(entryId);
    await writeFile(join(folder, `${entryId}.crt`), cert);
    await writeFile(join(folder, `${entryId}.key`), key);
  }
}

describe('TLS for callers and between entries', () => {
  it('answers requests over HTTPS while entries connect to each other with mutual TLS', async (t) => {
    const clock = new SystemClock();
    const folder = await mkdtemp(join(tmpdir(), 'acaciadock-tls-'));
    const authority = new TestCertificates();
    await writeKeyFiles(folder, authority);
    const log = new LogStandIn(clock);
    const directory = new DirectoryStandIn(clock);
    const control = new ControlStandIn(clock);
    const target = new TargetStandIn('t0', clock);
    await Promise.all([log.listen(), directory.listen(), control.listen(), target.listen()]);
    directory.set({ instanceId: 't0', role: 'target', state: 'live' });
    const document = exampleDocument({
      targets: [{ instanceId: 't0', address: target.address }],
      teams: { [TEAM]: { share: 1, limit: 8 } },
    });
    const { keyId, key, sha256 } = TeamKey.create(TEAM);
    Object.assign(document.teams[TEAM]?.keys ?? {}, {
      [keyId]: { sha256, grantedAtMs: 0, note: '' },
    });
    log.append(CONFIG_STREAM, [firstPatch(document)]);

    const entries: Entry[] = [];
    const addresses: EntryAddresses[] = [];
    for (const [index, entryId] of ENTRY_IDS.entries()) {
      directory.set({ instanceId: entryId, role: 'entry', state: 'live' });
      const files = {
        certFile: join(folder, `${entryId}.crt`),
        keyFile: join(folder, `${entryId}.key`),
      };
      const settings = settingsSchema.parse({
        ...loopbackSettings(entryId, { log, directory, control }),
        tls: { callers: files, peers: { ...files, caFile: join(folder, 'ca.crt') } },
      });
      const tls = (await EntryTls.open(settings, clock, new SilentLogger())).unwrapOr(undefined);
      const entry = new Entry(settings, clock, index, new SilentLogger(), tls);
      entries.push(entry);
      addresses.push(await entry.start());
    }
    const ready = (entry: Entry): boolean =>
      entry.follower.state().version > 0 &&
      entry.fence.reason() === undefined &&
      entry.membership.liveEntries().length === ENTRY_IDS.length;
    while (!entries.every(ready)) await clock.sleep(POLL_MS);

    const agent = new Agent({ connect: { ca: authority.caCert } });
    const statusCodes = await Promise.all(
      Array.from({ length: REQUESTS }, async (_, index) => {
        const address = addresses[index % addresses.length]?.callerAddress ?? '';
        const answer = await request(`https://${address}/v1/services/advice/requests`, {
          method: 'POST',
          headers: { authorization: `Bearer ${key}` },
          body: '{}',
          dispatcher: agent,
        });
        await answer.body.dump();
        return answer.statusCode;
      }),
    );
    t.same(new Set(statusCodes), new Set([200]));
    t.equal(target.runs.length, REQUESTS);
    const plain = await request(`http://${addresses[0]?.callerAddress}/healthz`).catch(
      () => undefined,
    );
    t.equal(plain, undefined, 'plain HTTP gets no answer');

    await agent.close();
    await Promise.all(entries.map((entry) => entry.stop()));
    await Promise.all([log.close(), directory.close(), control.close(), target.close()]);
    await rm(folder, { recursive: true });
  });
});
