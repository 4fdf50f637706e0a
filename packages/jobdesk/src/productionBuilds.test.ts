/**
 * Reads records and messages as each build in production wrote them. Fails if a field was renamed or its
 * type changed: during an upgrade an owner of this build continues where one of that build left off, and
 * after a rollback the other way round.
 */
import { RecordingLogger } from '@acaciadock/coordinator/testing';
import { describe, it } from '@acaciadock/core/testing';
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as z from 'zod';
import { callMethod, noticeMethod } from './PeerCalls.js';
import { DEFAULT_WORLD, JobWorld } from './testing/JobWorld.js';
import { statusOf } from './testing/takeoverHelpers.js';

const FIXTURES = fileURLToPath(new URL('../fixtures/', import.meta.url));

const recordsSchema = z.object({
  commit: z.string(),
  /** Status of each job as its owner showed it. */
  statuses: z.record(z.string(), z.string()),
  records: z.array(z.object({ key: z.string(), value: z.string() })),
});

const messagesSchema = z.object({
  commit: z.string(),
  calls: z.array(z.string()),
  replies: z.array(z.string()),
  noticeRequests: z.array(z.string()),
  noticeReplies: z.array(z.string()),
});

/** Later than every time in the records, in milliseconds after the start of the simulated clock. */
const TAKEOVER_MS = 30_000;

/** Until a new owner has written the records that it keeps, in milliseconds. */
const SETTLE_MS = 4_000;

/** Records that a new owner writes anew from what it has read. */
const REWRITTEN_KEYS = ['runtimes'];

async function readFixtures<T>(kind: string, schema: z.ZodType<T>): Promise<T[]> {
  const names = (await readdir(FIXTURES)).filter((name) => name.startsWith(`${kind}-`));
  const texts = await Promise.all(names.map((name) => readFile(join(FIXTURES, name), 'utf8')));
  return texts.map((text) => schema.parse(JSON.parse(text)));
}

/** The paths of all fields of a value; elements of arrays share their paths. */
function fieldsOf(value: unknown, path = ''): string[] {
  if (Array.isArray(value)) return value.flatMap((element) => fieldsOf(element, `${path}[]`));
  if (typeof value !== 'object' || value === null) return [path];
  return Object.entries(value).flatMap(([name, field]) => fieldsOf(field, `${path}.${name}`));
}

/** The fields that the second text lacks. */
function lostFields(before: string, after: string): string[] {
  const kept = new Set(fieldsOf(JSON.parse(after)));
  return [...new Set(fieldsOf(JSON.parse(before)))].filter((field) => !kept.has(field));
}

describe('records of builds in production', () => {
  it('are read by an owner of this build, which keeps their fields', async (t) => {
    const fixtures = await readFixtures('records', recordsSchema);
    t.ok(fixtures.length > 0, 'there are fixtures');
    for (const { commit, statuses, records } of fixtures) {
      const logger = new RecordingLogger();
      const world = new JobWorld({
        ...DEFAULT_WORLD,
        entryCount: 0,
        targetCount: 0,
        instanceCount: 8,
        spareCount: 16,
        otherPoolIds: ['b'],
        logger,
      });
      await world.run(TAKEOVER_MS);
      records.forEach(({ key, value }, offset) =>
        world.store.records.push({ key, value: Buffer.from(value), offset }),
      );
      world.startEntry('e1');
      t.ok(await world.runUntil(() => world.owner !== undefined, 5_000), `${commit}: is owned`);
      const unreadable = logger.events.filter((event) => event.includes('unreadable'));
      t.same(unreadable, [], `${commit}: everything is read`);
      t.match(
        logger.of('coordinator-started'),
        [{ unreadable: [] }],
        `${commit}: every job is read`,
      );
      for (const [jobId, status] of Object.entries(statuses)) {
        t.equal(await statusOf(world, jobId), status, `${commit}: ${jobId}`);
      }
      await world.run(SETTLE_MS);
      const newest = new Map(
        world.store.newest().records.map(({ key, value }) => [key, value?.toString('utf8')]),
      );
      records
        .filter(({ key }) => REWRITTEN_KEYS.includes(key))
        .forEach(({ key, value }) => {
          t.same(lostFields(value, newest.get(key) ?? '{}'), [], `${commit}: fields of ${key}`);
        });
    }
  });
});

describe('messages of builds in production', () => {
  it('are decoded, and keep their fields when they are encoded again', async (t) => {
    const fixtures = await readFixtures('messages', messagesSchema);
    t.ok(fixtures.length > 0, 'there are fixtures');
    const assertKept = <T>(
      texts: readonly string[],
      decode: (bytes: Buffer) => T,
      encode: (value: T) => Buffer,
    ): void => {
      texts.forEach((text) => {
        const again = encode(decode(Buffer.from(text))).toString('utf8');
        t.same(lostFields(text, again), [], text);
      });
    };
    fixtures.forEach(({ calls, replies, noticeRequests, noticeReplies }) => {
      assertKept(calls, callMethod.requestDeserialize, callMethod.requestSerialize);
      assertKept(replies, callMethod.responseDeserialize, callMethod.responseSerialize);
      assertKept(noticeRequests, noticeMethod.requestDeserialize, noticeMethod.requestSerialize);
      assertKept(noticeReplies, noticeMethod.responseDeserialize, noticeMethod.responseSerialize);
    });
  });
});
