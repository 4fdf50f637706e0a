/** Tests when a warm-up ends. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { JobCodec, JobsConfigView } from '@acaciadock/jobs';
import { ok } from 'neverthrow';
import { type TargetRegistry } from './contracts/index.js';
import { DEFINITION_PREFIX, JobDecoder, PROGRESS_PREFIX } from './JobDecoder.js';
import { RunFixture } from './testing/RunFixture.js';
import { WarmUp } from './WarmUp.js';

const OPTIONS = {
  maxLeaseMs: 6_000,
  keepFinishedMs: 1_000,
  holderId: 'e0',
  bootMs: 1,
  hasProcessExited: () => false,
  orderSeparationMs: 3_000,
  upkeepMs: 2_000,
  ordersPerS: 64,
  evacuateMs: undefined,
  moveMs: 1_500,
  refusesOverload: true,
};

const MALFORMED = { key: 'definition/a', value: Buffer.from('{'), offset: 0 };

/** Number of listings of the registry in the given time of a warm-up. */
async function countLists(durationMs: number, abortedAfterMs = Infinity): Promise<number> {
  const clock = new ManualClock();
  let lists = 0;
  const list = (): ReturnType<TargetRegistry['list']> => {
    lists += 1;
    return Promise.resolve(ok([]));
  };
  const warmUp = new WarmUp(OPTIONS, {
    registry: { list },
    waves: () => [],
    evacuationRequests: () => ({ zones: new Map(), asOfMs: 0, asOfUnixMs: 0 }),
    clock,
    config: () => new JobsConfigView({ version: 1, queues: [], pools: [], teams: [] }),
  });
  const abort = new AbortController();
  clock.after(Math.min(abortedAfterMs, durationMs), () => abort.abort());
  void warmUp.run([MALFORMED], abort.signal);
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
    clock.advance(50);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  return lists;
}

/** Records of a job with one task at work and one that waits. */
function recordsOf(jobs: RunFixture) {
  const job = jobs.accept('a', { taskCount: 2, cpuMilli: 100 });
  const place = job.find(0, 0, 0);
  if (place) jobs.runTracker.plan(place, jobs.target('t0'));
  return [
    { key: `${DEFINITION_PREFIX}a`, value: JobCodec.encodeDefinition(job.definition), offset: 0 },
    { key: `${PROGRESS_PREFIX}a`, value: JobCodec.encodeProgress(job), offset: 1 },
  ];
}

describe('WarmUp', () => {
  it('leaves what was decoded ahead as it is in the journal', async (t) => {
    // Fails if a run that only the warm-up has started or ended is restored by the owner.
    const fixture = new RunFixture(1);
    const { clock } = fixture;
    const records = recordsOf(fixture);
    const decoder = new JobDecoder();
    await decoder.decodeAhead(records);
    const entries = fixture.all.flatMap(({ entry }) => (entry ? [entry] : []));
    const warmUp = new WarmUp(OPTIONS, {
      registry: { list: () => Promise.resolve(ok(entries)) },
      waves: () => [],
      evacuationRequests: () => ({ zones: new Map(), asOfMs: 0, asOfUnixMs: 0 }),
      clock,
      config: () => new JobsConfigView({ version: 1, queues: [], pools: [], teams: [] }),
      decoder,
    });
    void warmUp.run(records, new AbortController().signal);
    for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += 10) {
      clock.advance(10);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    const [definition, progress] = records.map(({ value }) => value);
    if (!definition || !progress) throw new Error('records are missing');
    t.same(decoder.definitionOf(definition), JobCodec.decodeDefinition(definition));
    t.same(decoder.progressOf(progress), JobCodec.decodeProgress(progress));
  });

  it('ends by itself', async (t) => {
    t.equal(await countLists(10_000), await countLists(1_500));
  });

  it('ends as soon as the journal is claimed', async (t) => {
    // Fails if the warm-up goes on beside the work that it prepares.
    t.equal(await countLists(5_000, 100), 1);
  });
});
