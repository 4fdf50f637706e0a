/**
 * Targets that fall silent while a start order is in flight to them. Guards against the unanswered
 * order delaying the restart of the runs that the target had listed before.
 */
import { describe, it } from '@acaciadock/core/testing';
import { LONG_RUNNING_PREFIX } from '@acaciadock/coordinator/testing';
import { type Test } from 'tap';
import { type JobWorld } from './testing/JobWorld.js';
import { createWorld, type StepInput } from './testing/takeoverHelpers.js';

const LEASE_MS = 5_000;
const SLOWEST_CLOCK_RATE = 0.98;

/** Time to notice the expiry of a lease and to start a run elsewhere, in milliseconds. */
const RESTART_MS = 300;

const LASTING: StepInput = { taskCount: 2, cpuMilli: 500, longRunning: true, mostPerTarget: 1 };

/** As many short tasks as to occupy every target. */
const SHORT: StepInput = { taskCount: 8, cpuMilli: 500 };

const startsOf = (world: JobWorld, jobId: string, taskCount: number): number =>
  Array.from({ length: taskCount }, (_, index) =>
    world.observer.startsOf(`${jobId}.0.0.${index}`),
  ).reduce((sum, count) => sum + count, 0);

/** Starts the lasting tasks on two targets, beside which there is a third one. */
async function startLasting(world: JobWorld): Promise<void> {
  void world.submit('lasting', { spec: LONG_RUNNING_PREFIX, steps: [LASTING] });
  await world.runUntil(() => world.runningCount === 2, 2_000);
  world.addTarget('t2', 'z0');
  await world.run(2_000);
}

async function crashOneTarget(world: JobWorld, isStartInFlight: boolean): Promise<void> {
  await startLasting(world);
  world.targets.get('t0')?.crash();
  if (isStartInFlight) void world.submit('short', { steps: [SHORT] });
}

async function assertRestarts(t: Test, world: JobWorld): Promise<void> {
  const crashedMs = world.clock.monotonicMs();
  const boundMs = LEASE_MS / SLOWEST_CLOCK_RATE + RESTART_MS;
  const isRestarted = (): boolean => startsOf(world, 'lasting', 2) === 3;
  await world.runUntil(isRestarted, 2 * LEASE_MS);
  const tookMs = world.clock.monotonicMs() - crashedMs;
  t.ok(tookMs <= boundMs, `runs again after ${tookMs} ms, at most ${Math.round(boundMs)}`);
  t.same(world.observer.broken, [], 'no guarantee violated');
}

describe('a target that crashes for good', () => {
  it('gives up its runs once its lease has expired', async (t) => {
    const world = await createWorld({ targetCount: 2 });
    await crashOneTarget(world, false);
    await assertRestarts(t, world);
  });

  it('gives up the runs that it has listed as early if a start is in flight', async (t) => {
    // Fails if the longest lease that the order may have given to a later lifetime is waited out.
    const world = await createWorld({ targetCount: 2 });
    await crashOneTarget(world, true);
    await assertRestarts(t, world);
  });
});

describe('a target that restarts as a start reaches it, and is then cut off', () => {
  it('runs no task twice', async (t) => {
    // Fails if the unanswered start counts as expired with the runs of the former lifetime: the later
    // one may hold the longest lease.
    let startedLate = 0;
    for (let delayMs = 5; delayMs <= 30; delayMs += 5) {
      const world = await createWorld({ targetCount: 2, runtimeMs: 12_000 });
      await startLasting(world);
      void world.submit('short', { steps: [SHORT] });
      await world.run(delayMs);
      world.targets.get('t0')?.restart();
      await world.run(5);
      world.entries.forEach(({ portFaults }) => portFaults.cutTargets.add('t0'));
      if ((world.targets.get('t0')?.runningCount ?? 0) > 0) startedLate += 1;
      await world.run(3 * LEASE_MS);
      t.same(world.observer.broken, [], `restarts after ${delayMs} ms`);
    }
    t.ok(startedLate > 0, 'the later lifetime has executed a start');
  });
});
