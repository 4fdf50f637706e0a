/**
 * Guarantees to teams and callers, each tested under load with faults that could violate it: the
 * team limit over the whole fleet, no new work on a draining target, and a refused job never runs.
 */
import { describe, it } from '@acaciadock/core/testing';
import { type JobWorld } from './testing/JobWorld.js';
import { createWorld, ONE_STEP, submit } from './testing/takeoverHelpers.js';

const TASK_CPU_MILLI = 1_000;
const LIMIT_TASKS = 3;
const STEP_MS = 10;

/** Submits a job and calls `disturb` every second; returns the maximum number of parallel runs. */
async function maxRunning(
  world: JobWorld,
  seconds: number,
  disturb: (second: number) => void,
): Promise<number> {
  let maxRuns = 0;
  for (let second = 0; second < seconds; second += 1) {
    void world.submit(`j${second}`, { steps: ONE_STEP });
    disturb(second);
    for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += STEP_MS) {
      await world.run(STEP_MS);
      maxRuns = Math.max(maxRuns, world.runningCount);
    }
  }
  return maxRuns;
}

describe('a team limit over the whole fleet', () => {
  const limited = { teamLimitCpuMilli: LIMIT_TASKS * TASK_CPU_MILLI, runtimeMs: 1_500 };

  it('is used in full and never exceeded without faults', async (t) => {
    const world = await createWorld(limited);
    t.equal(await maxRunning(world, 6, () => undefined), LIMIT_TASKS);
  });

  it('holds while owners are killed', async (t) => {
    const world = await createWorld(limited);
    const maxRuns = await maxRunning(world, 12, (second) => {
      if (second % 3 !== 1) return;
      const ownerId = world.ownerId();
      if (ownerId === undefined) return;
      world.killEntry(ownerId);
      world.clock.after(700, () => world.startEntry(ownerId));
    });
    t.ok(maxRuns <= LIMIT_TASKS, `${maxRuns} ran`);
    t.same(world.observer.broken, []);
  });

  it('holds while targets are unreachable but keep running', async (t) => {
    // Fails if the runs of an unreachable target stop counting before their lease expires.
    const world = await createWorld({ ...limited, runtimeMs: 4_000 });
    const maxRuns = await maxRunning(world, 16, (second) => {
      world.entries.forEach((entry) => entry.portFaults.cutTargets.clear());
      if (second % 4 === 3) return;
      const busy = [...world.targets.values()].filter((target) => target.runningCount > 0);
      world.entries.forEach((entry) => {
        busy.forEach(({ targetId }) => entry.portFaults.cutTargets.add(targetId));
      });
    });
    t.ok(maxRuns <= LIMIT_TASKS, `${maxRuns} ran`);
  });

  it('holds after a change of owner while a cancelled scheduled job still runs', async (t) => {
    // Fails if the new owner doesn't count the live runs of a finished job with a schedule.
    const world = await createWorld({ ...limited, runtimeMs: 20_000, targetCount: 2 });
    void world.submit('scheduled', {
      steps: [{ taskCount: LIMIT_TASKS, cpuMilli: TASK_CPU_MILLI }],
      schedule: { firstDueUnixMs: 0, periodMs: 0, repeatCount: 1 },
    });
    await world.run(500);
    t.equal(world.runningCount, LIMIT_TASKS);
    const busy = [...world.targets.values()].filter((target) => target.runningCount > 0);
    world.entries.forEach((entry) => {
      busy.forEach(({ targetId }) => entry.portFaults.cutTargets.add(targetId));
    });
    void world.cancel('scheduled');
    await world.run(200);
    const formerId = world.ownerId();
    void world.entries.get(formerId ?? '')?.leave();
    await world.runUntil(() => (world.ownerId() ?? formerId) !== formerId, 3_000);
    const maxRuns = await maxRunning(world, 3, () => undefined);
    t.ok(maxRuns <= LIMIT_TASKS, `${maxRuns} ran`);
  });

  it('holds while orders are executed late', async (t) => {
    const world = await createWorld(limited);
    const maxRuns = await maxRunning(world, 14, (second) => {
      world.entries.forEach((entry) => {
        Object.assign(entry.portFaults, { lateOrderShare: second < 7 ? 0.3 : 0 });
      });
    });
    t.ok(maxRuns <= LIMIT_TASKS, `${maxRuns} ran`);
  });
});

describe('a draining target', () => {
  const DRAIN_MS = 2_000;

  it('gets no new work after the drain period, also from a new owner', async (t) => {
    const world = await createWorld({ targetCount: 2, runtimeMs: 300 });
    await submit(world, 'a');
    const draining = [...world.targets.values()].find((target) => target.runningCount > 0);
    Object.assign(draining ?? {}, { isDraining: true });
    await world.run(DRAIN_MS);
    const before = world.observer.startsOn(draining?.targetId ?? '');
    await maxRunning(world, 3, (second) => {
      if (second === 1) world.killEntry(world.ownerId() ?? '');
    });
    await maxRunning(world, 4, () => undefined);
    t.ok(before > 0, 'it had work before');
    t.equal(world.observer.startsOn(draining?.targetId ?? ''), before);
    t.ok(world.observer.startCount > before + 4, 'the other target continues to run tasks');
  });
});

describe('a job that was refused while the store is down', () => {
  it('never runs', async (t) => {
    const world = await createWorld();
    Object.assign(world.store.faults, { isDown: true });
    await world.run(100);
    // The first call detects that the store is down and is taken back; later calls are refused.
    const first = world.call('first', { steps: ONE_STEP });
    await world.run(1_200);
    const second = world.call('second', { steps: ONE_STEP });
    await world.run(100);
    t.match(await first, { kind: 'refused' });
    t.match(await second, { kind: 'refused' });
    Object.assign(world.store.faults, { isDown: false });
    await world.run(10_000);
    t.equal(world.observer.startsOf('first.0.0.0'), 0);
    t.equal(world.observer.startsOf('second.0.0.0'), 0);
    await submit(world, 'first', ONE_STEP);
    await world.run(1_000);
    t.ok(world.observer.startsOf('first.0.0.0') > 0, 'its caller may submit it again');
  });
});
