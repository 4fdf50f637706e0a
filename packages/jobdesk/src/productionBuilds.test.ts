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
const DEPLOY_FILE = fileURLToPath(new URL('../../../deploy/system.toml', import.meta.url));

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

/** Until a new owner has started what waits, in milliseconds. */
const SETTLE_MS = 4_000;

/** Until runs on targets that are gone have ended and started anew, in milliseconds. */
const LOST_RUNS_MS = 12_000;

/** The first build with fixtures, of which none has a record with crashes. */
const FIRST_COMMIT = '9a2049f';

/** Length of a turn of a pool, and interval of the jobs in it, in milliseconds. */
const TURN_MS = 3_000;
const JOB_PERIOD_MS = 200;

const TURN_STEPS = [{ taskCount: 5, cpuMilli: 1_000 }];

/** Records that a new owner writes anew, from what it has read, once work arrives. */
const REWRITTEN_KEYS = ['runtimes', 'turns'];

const turnsSchema = z.object({
  pools: z.array(z.object({ poolId: z.string(), sustainedNeed: z.number().optional() })),
});

const progressSchema = z.object({
  occurrences: z.array(
    z.object({
      tasks: z.array(
        z.object({
          step: z.number(),
          index: z.number(),
          crashes: z.number().default(0),
          earlyCrashes: z.number().default(0),
        }),
      ),
    }),
  ),
});

type RecordsFixture = z.infer<typeof recordsSchema>;
type Counts = Readonly<Record<string, number>>;

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

/** The need of each pool that lasted in its turns. */
function sustainedNeeds(value: string): Counts {
  const { pools } = turnsSchema.parse(JSON.parse(value));
  return Object.fromEntries(pools.map(({ poolId, sustainedNeed = 0 }) => [poolId, sustainedNeed]));
}

/** The crashes of each task, those of early runs apart. */
function crashCounts(value: string): Counts {
  const { occurrences } = progressSchema.parse(JSON.parse(value));
  const tasks = occurrences.flatMap((occurrence) => occurrence.tasks);
  return Object.fromEntries(
    tasks.flatMap(({ step, index, crashes, earlyCrashes }) => [
      [`${step}.${index}.crashes`, crashes],
      [`${step}.${index}.earlyCrashes`, earlyCrashes],
    ]),
  );
}

/** The names whose count in the second map is smaller. */
function lowered(before: Counts, after: Counts): string[] {
  return Object.keys(before).filter((name) => (after[name] ?? 0) < (before[name] ?? 0));
}

/** A world in which an owner of this build has taken over the records. */
async function takeOver({ records }: RecordsFixture, logger: RecordingLogger): Promise<JobWorld> {
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
  await world.runUntil(() => world.owner !== undefined, 5_000);
  return world;
}

/** A turn of each pool, so that the owner has something new to record. */
async function playTurns(world: JobWorld): Promise<void> {
  for (const poolId of [undefined, 'b']) {
    for (let elapsedMs = 0; elapsedMs < TURN_MS; elapsedMs += JOB_PERIOD_MS) {
      void world.submit(`${poolId}-${elapsedMs}`, { steps: TURN_STEPS }, poolId);
      await world.run(JOB_PERIOD_MS);
    }
  }
  await world.run(SETTLE_MS);
}

/** What the new owner has written under the key, oldest first. */
function rewritten(world: JobWorld, { records }: RecordsFixture, key: string): string[] {
  return world.store.records
    .slice(records.length)
    .filter((record) => record.key === key)
    .flatMap(({ value }) => value?.toString('utf8') ?? []);
}

function valueOf({ records }: RecordsFixture, wanted: string): string {
  return records.find(({ key }) => key === wanted)?.value ?? '';
}

describe('records of builds in production', () => {
  it('are there of the build that the deploy file names', async (t) => {
    // Fails if an upgrade sets the production commit and leaves out its fixtures.
    const production = /^production = "(\w+)"/m.exec(await readFile(DEPLOY_FILE, 'utf8'))?.[1];
    const records = await readFixtures('records', recordsSchema);
    const messages = await readFixtures('messages', messagesSchema);
    [records, messages].forEach((fixtures) => {
      t.ok(
        fixtures.some(({ commit }) => commit === production),
        `there are those of ${production}`,
      );
    });
  });

  it('are read by an owner of this build, which keeps their fields', async (t) => {
    const fixtures = await readFixtures('records', recordsSchema);
    t.ok(fixtures.length > 0, 'there are fixtures');
    for (const fixture of fixtures) {
      const { commit, statuses } = fixture;
      const logger = new RecordingLogger();
      const world = await takeOver(fixture, logger);
      t.ok(world.owner !== undefined, `${commit}: is owned`);
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
      await playTurns(world);
      REWRITTEN_KEYS.forEach((key) => {
        const newest = rewritten(world, fixture, key).at(-1) ?? '{}';
        t.same(lostFields(valueOf(fixture, key), newest), [], `${commit}: fields of ${key}`);
      });
    }
  });

  it('keep what pools needed in their turns', async (t) => {
    // Fails if a new owner sizes first turns without what the former one has learned.
    for (const fixture of await readFixtures('records', recordsSchema)) {
      const world = await takeOver(fixture, new RecordingLogger());
      await playTurns(world);
      const before = sustainedNeeds(valueOf(fixture, 'turns'));
      const [first = '{"pools":[]}'] = rewritten(world, fixture, 'turns');
      const after = sustainedNeeds(first);
      t.same(lowered(before, after), [], `${fixture.commit}: ${JSON.stringify(before)}`);
    }
  });

  it('keep the crashes of tasks', async (t) => {
    // Fails if a task that crashes its targets is counted anew after an upgrade.
    for (const fixture of await readFixtures('records', recordsSchema)) {
      const world = await takeOver(fixture, new RecordingLogger());
      await world.run(LOST_RUNS_MS);
      const crashed = fixture.records.filter(({ value }) => value.includes('"crashes"'));
      t.equal(
        crashed.length > 0,
        fixture.commit !== FIRST_COMMIT,
        'there are records with crashes',
      );
      crashed.forEach(({ key, value }) => {
        const [first = '{"occurrences":[]}'] = rewritten(world, fixture, key);
        t.same(lowered(crashCounts(value), crashCounts(first)), [], `${fixture.commit}: ${key}`);
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
