/**
 * Targets whose capacity shrinks and grows while they run. They start whatever they are told to, as
 * those that don't check their capacity do. Guards against starts that exceed what a target says it
 * has, and against pools that stay too small because of it.
 */
import { describe, it } from '@acaciadock/core/testing';
import { type SimulatedTarget } from '@acaciadock/coordinator/testing';
import { type JobWorld } from './testing/JobWorld.js';
import { assertCompletes, createWorld, submit } from './testing/takeoverHelpers.js';

const TASK_CPU_MILLI = 1_000;
const FULL_CPU_MILLI = 4_000;

/** Time after which every decision has to know of a smaller capacity, in milliseconds. */
const GRACE_MS = 4_500;

interface Overrun {
  readonly targetId: string;
  readonly runs: number;
}

function targetOf(world: JobWorld, targetId = 't0'): SimulatedTarget {
  return world.targets.get(targetId) as SimulatedTarget;
}

function setCapacity(world: JobWorld, targetId: string, cpuMilli: number): void {
  targetOf(world, targetId).setCapacity(cpuMilli);
}

/** Records the starts that bring a target over its capacity; what is being stopped still counts. */
function recordOverruns(world: JobWorld): Overrun[] {
  const overruns: Overrun[] = [];
  const started = world.observer.started.bind(world.observer);
  Object.assign(world.observer, {
    started: (taskId: string, run: number, targetId: string) => {
      started(taskId, run, targetId);
      const target = targetOf(world, targetId);
      const runs = target.runningCount + 1;
      const isOver = runs * TASK_CPU_MILLI > target.entry.capacity.cpuMilli;
      if (isOver) overruns.push({ targetId, runs });
    },
  });
  return overruns;
}

function submitTasks(world: JobWorld, jobId: string, taskCount: number): Promise<void> {
  return submit(world, jobId, [{ taskCount, cpuMilli: TASK_CPU_MILLI }]);
}

describe('a target whose capacity shrinks', () => {
  it('is given no task beyond it, and all of it again once it has grown', async (t) => {
    const world = await createWorld({ targetCount: 1, runtimeMs: 400, refusesOverload: false });
    for (let count = 0; count < 4; count += 1) await submitTasks(world, `a${count}`, 4);
    setCapacity(world, 't0', TASK_CPU_MILLI);
    await world.run(500);
    const overruns = recordOverruns(world);
    const before = world.observer.startCount;
    await world.run(GRACE_MS);
    t.ok(world.observer.startCount > before, 'what is left is used');
    setCapacity(world, 't0', FULL_CPU_MILLI);
    for (let count = 4; count < 8; count += 1) await submitTasks(world, `a${count}`, 4);
    t.ok(await world.runUntil(() => targetOf(world).runningCount === 4, 1_000), 'it is full again');
    await assertCompletes(
      t,
      world,
      [0, 1, 2, 3, 4, 5, 6, 7].map((count) => `a${count}`),
    );
    t.same(overruns, []);
  });

  it('is not sent what was planned before, even if the store takes seconds to record it', async (t) => {
    const world = await createWorld({ targetCount: 1, runtimeMs: 400, refusesOverload: false });
    void world.submit('a', { steps: [{ taskCount: 4, cpuMilli: TASK_CPU_MILLI }] });
    await world.runUntil(() => world.observer.startCount > 0, 200);
    // The next tasks are planned as soon as these end, but recorded only once the store is back.
    void world.submit('b', { steps: [{ taskCount: 4, cpuMilli: TASK_CPU_MILLI }] });
    await world.run(60);
    await world.runUntil(() => targetOf(world).runningCount < 4, 2_000);
    Object.assign(world.store.faults, { isDown: true });
    await world.run(300);
    setCapacity(world, 't0', TASK_CPU_MILLI);
    await world.run(GRACE_MS);
    const overruns = recordOverruns(world);
    Object.assign(world.store.faults, { isDown: false });
    await assertCompletes(t, world, ['a']);
    t.same(overruns, []);
  });

  it('is not overfilled by a new owner that adopts more than there is room for', async (t) => {
    const world = await createWorld({ targetCount: 1, runtimeMs: 3_000, refusesOverload: false });
    await submitTasks(world, 'a', 4);
    await submitTasks(world, 'b', 4);
    setCapacity(world, 't0', 2 * TASK_CPU_MILLI);
    const overruns = recordOverruns(world);
    world.killEntry(world.ownerId() ?? '');
    await assertCompletes(t, world, ['a', 'b']);
    t.same(overruns, []);
  });

  it('starts again with less: its former capacity counts no more', async (t) => {
    const world = await createWorld({ targetCount: 1, runtimeMs: 2_000, refusesOverload: false });
    await submitTasks(world, 'a', 4);
    await submitTasks(world, 'b', 4);
    const target = targetOf(world);
    const entry = { ...target.entry };
    const overruns = recordOverruns(world);
    setCapacity(world, 't0', TASK_CPU_MILLI);
    target.restart();
    // The registry lists the former lifetime for a while longer.
    Object.defineProperty(target, 'entry', { value: entry, configurable: true });
    await world.run(1_000);
    t.equal(target.runningCount, 0, 'nothing starts before the registry lists the new lifetime');
    Reflect.deleteProperty(target, 'entry');
    await assertCompletes(t, world, ['a', 'b']);
    t.same(overruns, []);
  });
});

describe('a pool whose targets have shrunk', () => {
  it('gets more instances, as its own can run less', async (t) => {
    const world = await createWorld({
      targetCount: 0,
      instanceCount: 4,
      spareCount: 8,
      runtimeMs: 600,
      refusesOverload: false,
    });
    await world.run(1_000);
    const own = [...world.targets.values()];
    own.forEach((target) => target.setCapacity(TASK_CPU_MILLI));
    await world.run(500);
    const jobIds: string[] = [];
    let atMost = 0;
    for (let count = 0; count < 30; count += 1) {
      jobIds.push(`a${count}`);
      await submitTasks(world, `a${count}`, 4);
      await world.run(300);
      const inPool = [...world.targets.values()].filter(
        ({ isUp, entry }) => isUp && entry.poolId === 'pool',
      );
      atMost = Math.max(atMost, inPool.length);
    }
    t.ok(atMost > 4, `${atMost} targets at most`);
    await assertCompletes(t, world, jobIds);
  });
});
