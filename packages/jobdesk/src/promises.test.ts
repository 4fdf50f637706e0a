/**
 * Promises to teams and callers, each tried by a load with faults that would break it: the limit over
 * the whole fleet, a target that leaves, a refusal that says "not run".
 */
import { describe, it } from '@acaciadock/core/testing';
import { type JobWorld } from './testing/JobWorld.js';
import { newWorld, ONE_STEP, submit } from './testing/takeoverCases.js';

const TASK_CPU_MILLI = 1_000;
const LIMIT_TASKS = 3;
const STEP_MS = 10;

/** Hands jobs in while `disturb` acts once a second; returns the most runs seen at once. */
async function mostRunning(
  world: JobWorld,
  seconds: number,
  disturb: (second: number) => void,
): Promise<number> {
  let most = 0;
  for (let second = 0; second < seconds; second += 1) {
    void world.submit(`j${second}`, { steps: ONE_STEP });
    disturb(second);
    for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += STEP_MS) {
      await world.run(STEP_MS);
      most = Math.max(most, world.runningCount);
    }
  }
  return most;
}

describe('a team limit over the whole fleet', () => {
  const limited = { teamLimitCpuMilli: LIMIT_TASKS * TASK_CPU_MILLI, runtimeMs: 1_500 };

  it('is used in full and never exceeded while nothing fails', async (t) => {
    const world = await newWorld(limited);
    t.equal(await mostRunning(world, 6, () => undefined), LIMIT_TASKS);
  });

  it('holds while owners are killed', async (t) => {
    const world = await newWorld(limited);
    const most = await mostRunning(world, 12, (second) => {
      if (second % 3 !== 1) return;
      const ownerId = world.ownerId();
      if (ownerId === undefined) return;
      world.killEntry(ownerId);
      world.clock.after(700, () => world.startEntry(ownerId));
    });
    t.ok(most <= LIMIT_TASKS, `${most} ran`);
    t.same(world.observer.broken, []);
  });

  it('holds while targets are silent and run on', async (t) => {
    // Fails if the runs of a target that can't be reached stop counting before their lease ends.
    const world = await newWorld({ ...limited, runtimeMs: 4_000 });
    const most = await mostRunning(world, 16, (second) => {
      world.entries.forEach((entry) => entry.portFaults.cutTargets.clear());
      if (second % 4 === 3) return;
      const busy = [...world.targets.values()].filter((target) => target.runningCount > 0);
      world.entries.forEach((entry) => {
        busy.forEach(({ targetId }) => entry.portFaults.cutTargets.add(targetId));
      });
    });
    t.ok(most <= LIMIT_TASKS, `${most} ran`);
  });

  it('holds while orders are carried out late', async (t) => {
    const world = await newWorld(limited);
    const most = await mostRunning(world, 14, (second) => {
      world.entries.forEach((entry) => {
        Object.assign(entry.portFaults, { lateOrderShare: second < 7 ? 0.3 : 0 });
      });
    });
    t.ok(most <= LIMIT_TASKS, `${most} ran`);
  });
});

describe('a target that is leaving', () => {
  const DRAIN_MS = 2_000;

  it('gets no new work after the time allowed, also from a new owner', async (t) => {
    const world = await newWorld({ targetCount: 2, runtimeMs: 300 });
    await submit(world, 'a');
    const leaving = [...world.targets.values()].find((target) => target.runningCount > 0);
    Object.assign(leaving ?? {}, { isDraining: true });
    await world.run(DRAIN_MS);
    const before = world.observer.startsOn(leaving?.targetId ?? '');
    await mostRunning(world, 3, (second) => {
      if (second === 1) world.killEntry(world.ownerId() ?? '');
    });
    await mostRunning(world, 4, () => undefined);
    t.ok(before > 0, 'it had work before');
    t.equal(world.observer.startsOn(leaving?.targetId ?? ''), before);
    t.ok(world.observer.startCount > before + 4, 'the other target works on');
  });
});

describe('a refusal', () => {
  it('is true: what was refused while the store was away never runs', async (t) => {
    const world = await newWorld();
    Object.assign(world.store.faults, { isDown: true });
    await world.run(100);
    // One call finds out that the store is away; the ones after a second are refused.
    void world.submit('first', { steps: ONE_STEP });
    await world.run(1_200);
    void world.submit('refused', { steps: ONE_STEP });
    await world.run(100);
    t.notOk(world.accepted.has('refused'));
    Object.assign(world.store.faults, { isDown: false });
    await world.run(10_000);
    t.equal(world.observer.startsOf('refused.0.0.0'), 0);
    t.ok(world.observer.startsOf('first.0.0.0') > 0, 'what was not refused may run');
  });
});
