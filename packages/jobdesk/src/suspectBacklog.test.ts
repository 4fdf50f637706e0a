/**
 * Plays tasks that crash their targets at up to four crashes a second, in a fleet with room to spare.
 * Guards against jobs caught in these crashes that could run and do not.
 */
import { describe, it } from '@acaciadock/core/testing';
import { DEADLY_PREFIX } from '@acaciadock/coordinator/testing';
import { type Test } from 'tap';
import { type JobWorld } from './testing/JobWorld.js';
import { createWorld } from './testing/takeoverHelpers.js';

const PLAY_MS = 8_000;

/** Time after the last submission by which every job has to have ended, in milliseconds. */
const FINISH_MS = 14_000;

/** Time from a crash until another target on the instance proves it, in milliseconds. */
const CRASH_PROVEN_MS = 3_500;

/** Longest time that a job may have nothing running while there is room for it, in milliseconds. */
const MAX_WAIT_MS = 3_000;

/** Jobs that are submitted together with each one that crashes targets. */
const NEIGHBOURS = 6;

/** Jobs that crash targets and others, of each ten that are submitted together. */
const DEADLY_OF_TEN = 3;
const OTHERS_OF_TEN = 7;

const TASK_INDEXES = [0, 1, 2];

/** Several targets have crashed by then, in milliseconds. */
const WARNED_AFTER_MS = 2_000;

/** A round of the control loop, in milliseconds; instances count from their orders on. */
const MOVE_MS = 500;

const POLL_MS = 250;
const ANSWER_MS = 50;

/** How long each job has had nothing running, in milliseconds. */
class WaitMeter {
  longestMs = 0;

  private readonly sinceMs = new Map<string, number>();

  private readonly starts = new Map<string, number>();

  constructor(private readonly world: JobWorld) {}

  record(openJobIds: readonly string[]): void {
    const nowMs = this.world.clock.monotonicMs();
    const running = new Set(
      [...this.world.targets.values()].flatMap(({ runningNames }) =>
        runningNames.map((name) => name.split('.')[0] ?? ''),
      ),
    );
    openJobIds.forEach((jobId) => {
      const isAtWork = running.has(jobId) || this.hasStartedSince(jobId);
      const sinceMs = isAtWork ? nowMs : (this.sinceMs.get(jobId) ?? nowMs);
      this.sinceMs.set(jobId, sinceMs);
      this.longestMs = Math.max(this.longestMs, nowMs - sinceMs);
    });
  }

  /** Whether a task of the job has been started since the last call, even if it has ended again. */
  private hasStartedSince(jobId: string): boolean {
    const starts = TASK_INDEXES.reduce(
      (sum, index) => sum + this.world.observer.startsOf(`${jobId}.0.0.${index}`),
      0,
    );
    const before = this.starts.get(jobId) ?? 0;
    this.starts.set(jobId, starts);
    return starts > before;
  }
}

async function openJobs(world: JobWorld): Promise<string[]> {
  const jobIds = [...world.accepted];
  const asked = jobIds.map((jobId) => world.stateOf(jobId));
  await world.run(ANSWER_MS);
  const replies = await Promise.all(asked);
  return jobIds.filter((_, index) => {
    const reply = replies[index];
    return reply?.kind !== 'state' || reply.status === 'pending' || reply.status === 'running';
  });
}

/** Jobs shown as failed that crash no target. */
async function givenUpOthers(world: JobWorld): Promise<string[]> {
  const jobIds = [...world.accepted].filter((jobId) => !jobId.startsWith('deadly'));
  const asked = jobIds.map((jobId) => world.stateOf(jobId));
  await world.run(ANSWER_MS);
  const replies = await Promise.all(asked);
  return jobIds.filter((_, index) => {
    const reply = replies[index];
    return reply?.kind === 'state' && reply.status === 'failed';
  });
}

function submitRound(world: JobWorld, round: number): void {
  const steps = [{ taskCount: TASK_INDEXES.length, cpuMilli: 150 }];
  void world.submit(`deadly${round}`, { spec: `${DEADLY_PREFIX}0`, steps });
  for (let index = 0; index < NEIGHBOURS; index += 1)
    void world.submit(`n${round}-${index}`, { steps });
}

/** Submits ten jobs, three of which crash targets. */
function submitTen(world: JobWorld, round: number): void {
  const steps = [{ taskCount: TASK_INDEXES.length, cpuMilli: 150 }];
  for (let index = 0; index < DEADLY_OF_TEN; index += 1)
    void world.submit(`deadly${round}-${index}`, { spec: `${DEADLY_PREFIX}0`, steps });
  for (let index = 0; index < OTHERS_OF_TEN; index += 1)
    void world.submit(`n${round}-${index}`, { steps });
}

interface Play {
  readonly seed: number;
  readonly periodMs: number;
  readonly runtimeMs?: number;
  readonly submitJobs?: (world: JobWorld, round: number) => void;
}

async function assertNoneWaits(
  t: Test,
  { seed, periodMs, runtimeMs = 600, submitJobs = submitRound }: Play,
): Promise<void> {
  const fleet = { targetCount: 0, instanceCount: 6, spareCount: 30 };
  const world = await createWorld({ seed, runtimeMs, ...fleet });
  const meter = new WaitMeter(world);
  let open: string[] = [];
  for (let elapsedMs = 0; elapsedMs < PLAY_MS + FINISH_MS; elapsedMs += POLL_MS) {
    if (elapsedMs < PLAY_MS && elapsedMs % periodMs === 0) submitJobs(world, elapsedMs);
    await world.run(POLL_MS - ANSWER_MS);
    open = await openJobs(world);
    meter.record(open);
  }
  const { longestMs } = meter;
  t.ok(longestMs <= CRASH_PROVEN_MS + MAX_WAIT_MS, `seed ${seed}: waits ${longestMs} ms`);
  t.same(open, [], `seed ${seed}: every job ends in time`);
  t.same(await givenUpOthers(world), [], `seed ${seed}: no job is given up that crashes none`);
  t.same(world.observer.broken, [], `seed ${seed}: no guarantee violated`);
}

/** Jobs submitted with each cause of a crash that were at work or had just been started on its target. */
function caughtJobs(world: JobWorld, rounds: readonly number[]): string[] {
  const jobIds = rounds.flatMap((round) =>
    Array.from({ length: NEIGHBOURS }, (_, index) => `n${round}-${index}`),
  );
  return jobIds.filter((jobId) =>
    TASK_INDEXES.some((index) => world.observer.crashesUnder(`${jobId}.0.0.${index}`) > 0),
  );
}

describe('jobs of a queue whose tasks crash targets time and again', () => {
  it('are caught in few of these crashes once several targets have crashed', async (t) => {
    // Fails if every new task starts beside others until its own target has crashed.
    for (let seed = 1; seed <= 3; seed += 1) {
      const world = await createWorld({ seed, targetCount: 0, instanceCount: 6, spareCount: 30 });
      const rounds: number[] = [];
      for (let elapsedMs = 0; elapsedMs < PLAY_MS; elapsedMs += 500) {
        submitRound(world, elapsedMs);
        if (elapsedMs >= WARNED_AFTER_MS) rounds.push(elapsedMs);
        await world.run(500);
      }
      await world.run(FINISH_MS);
      const caught = caughtJobs(world, rounds).length;
      const count = rounds.length * NEIGHBOURS;
      t.ok(caught < count / 2, `seed ${seed}: ${caught} of ${count}`);
      t.same(world.observer.broken, []);
    }
  });
});

describe('jobs that were on a target that crashed', () => {
  it('get instances on which they start apart, though their work would fit on one', async (t) => {
    // Fails if the size of a pool does not count the targets that suspects need.
    const world = await createWorld({ targetCount: 0, instanceCount: 1, spareCount: 8 });
    submitRound(world, 0);
    await world.run(CRASH_PROVEN_MS + MOVE_MS);
    const count = world.fleet?.countIn('pool') ?? 0;
    t.ok(count >= 3, `${count} instances are in the pool`);
  });
});

describe('jobs that are caught in the crashes of targets', () => {
  [1_000, 500, 250].forEach((periodMs) => {
    it(`do not wait for each other at a crash each ${periodMs} ms`, async (t) => {
      for (let seed = 1; seed <= 4; seed += 1) await assertNoneWaits(t, { seed, periodMs });
    });
  });
});

describe('jobs of a queue in which three of ten crash their targets', () => {
  [1_000, 500].forEach((periodMs) => {
    it(`do not wait for each other with ten jobs each ${periodMs} ms`, async (t) => {
      // Fails if cleared tasks that a later suspect takes down start as suspects again.
      const play = { periodMs, submitJobs: submitTen };
      for (let seed = 1; seed <= 3; seed += 1) await assertNoneWaits(t, { seed, ...play });
    });
  });

  it('are not given up for the crashes of others', async (t) => {
    // Fails if a cleared task is blamed for each suspect that crashes its target later.
    const play = { periodMs: 500, runtimeMs: 1_200, submitJobs: submitTen };
    for (let seed = 1; seed <= 3; seed += 1) await assertNoneWaits(t, { seed, ...play });
  });
});

describe('jobs of such a queue in a fleet without spare instances', () => {
  it('are accepted only as far as they can start, and end in time', async (t) => {
    // Fails if admission sees no work that waits, as suspects wait for isolated targets and not for room.
    for (let seed = 1; seed <= 2; seed += 1) {
      const world = await createWorld({ seed, targetCount: 0, instanceCount: 16 });
      for (let elapsedMs = 0; elapsedMs < PLAY_MS; elapsedMs += 500) {
        submitTen(world, elapsedMs);
        await world.run(500);
      }
      await world.run(FINISH_MS);
      t.same(await openJobs(world), [], `seed ${seed}: every accepted job ends in time`);
      t.same(await givenUpOthers(world), [], `seed ${seed}: no job is given up that crashes none`);
      t.same(world.observer.broken, [], `seed ${seed}: no guarantee violated`);
    }
  });
});
