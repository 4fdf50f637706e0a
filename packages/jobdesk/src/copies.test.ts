/**
 * Copies of tasks whose target is silent or whose run stalls: which tasks get them and when, and
 * that no order of events around the two runs breaks a guarantee.
 */
import { describe, it } from '@acaciadock/core/testing';
import { ORDER_TIMEOUT_MS, type StartOrder, type TargetAddress } from '@acaciadock/execution';
import { err } from 'neverthrow';
import { type JobWorld } from './testing/JobWorld.js';
import {
  assertCompletes,
  createWorld,
  statusOf,
  type StepInput,
  submit,
} from './testing/takeoverHelpers.js';

const TASK_CPU_MILLI = 1_000;
const LEASE_MS = 5_000;

/** Two missed reports: a long poll, its time-out and that of the retry, plus the check interval. */
const SILENCE_NOTICED_MS = 850;

/** Time in which a stop takes effect on a target that answers. */
const STOP_MS = 300;

/** Time until the end of a run is reported and durable. */
const REPORT_MS = 50;

const TASK = 'a.0.0.0';

function steps(taskCount: number, speculative = true): readonly StepInput[] {
  return [{ taskCount, cpuMilli: TASK_CPU_MILLI, speculative }];
}

function cut(world: JobWorld, targetIds: readonly string[]): void {
  world.entries.forEach(({ portFaults }) => {
    targetIds.forEach((targetId) => portFaults.cutTargets.add(targetId));
  });
}

function reconnect(world: JobWorld): void {
  world.entries.forEach(({ portFaults }) => portFaults.cutTargets.clear());
}

function slowDown(world: JobWorld, factors: Readonly<Record<string, number>>): void {
  world.targets.forEach((target) =>
    Object.assign(target, { slowdown: factors[target.targetId] ?? 1 }),
  );
}

/** Submits one task, which runs on `t0`, and cuts that target off until the task has a copy. */
async function createCopied(
  slowdown: Readonly<Record<string, number>>,
  change: Parameters<typeof createWorld>[0] = {},
): Promise<JobWorld> {
  const world = await createWorld({ targetCount: 2, ...change });
  slowDown(world, slowdown);
  await submit(world, 'a', steps(1));
  cut(world, ['t0']);
  await world.runUntil(() => world.observer.startsOf(TASK) === 2, SILENCE_NOTICED_MS);
  return world;
}

function stall(world: JobWorld, targetIds: readonly string[]): void {
  targetIds.forEach((targetId) =>
    Object.assign(world.targets.get(targetId) ?? {}, { isStalling: true }),
  );
}

async function replaceOwner(world: JobWorld): Promise<void> {
  world.killEntry(world.ownerId() ?? '');
  await world.runUntil(() => world.owner !== undefined, 3_000);
}

/** Records the start orders of all entries. */
function recordOrders(world: JobWorld): StartOrder[] {
  const orders: StartOrder[] = [];
  world.entries.forEach(({ port }) => {
    const start = port.start.bind(port);
    Object.assign(port, {
      start: (target: TargetAddress, order: StartOrder) => {
        orders.push(order);
        return start(target, order);
      },
    });
  });
  return orders;
}

/** Intercepts the start orders of copies, whose outcome is then unknown to the sender. */
function interceptCopy(
  world: JobWorld,
  handle: (target: TargetAddress, order: StartOrder) => void,
): void {
  world.entries.forEach(({ port }) => {
    const start = port.start.bind(port);
    Object.assign(port, {
      start: (target: TargetAddress, order: StartOrder) => {
        if (order.run !== 2) return start(target, order);
        handle(target, order);
        return new Promise((resolve) => {
          world.clock.after(ORDER_TIMEOUT_MS, () =>
            resolve(err({ kind: 'unknown-outcome', detail: '' })),
          );
        });
      },
    });
  });
}

describe('a rack of silent targets', () => {
  it('delays tasks with copies within their objective, and others until the lease has expired', async (t) => {
    const world = await createWorld({ targetCount: 8, targetsPerRack: 4, runtimeMs: 600 });
    const acceptedMs = world.clock.monotonicMs();
    void world.submit('a', { steps: steps(2) });
    await submit(world, 'b', steps(18, false));
    const rack = ['t0', 't1', 't2', 't3'];
    cut(world, rack);
    const cutMs = world.clock.monotonicMs();
    const isDone = await world.runUntil(() => {
      const runs = world.observer.startsOf('a.0.0.0') + world.observer.startsOf('a.0.0.1');
      return runs === 4 && ['0', '1'].every((task) => world.observer.isDone(`a.0.0.${task}`));
    }, 2_000);
    t.ok(isDone, 'both tasks have copies');
    await world.runUntil(() => world.runningCount === 0, 2_000);
    await world.run(REPORT_MS);
    // Twice the assumed runtime of 1 s plus 0.5 s.
    t.ok(world.clock.monotonicMs() - acceptedMs < 2_500);
    t.equal(await statusOf(world, 'a'), 'completed');
    const before = world.observer.startCount;
    await world.runUntil(() => world.observer.startCount > before, 2 * LEASE_MS);
    t.ok(world.clock.monotonicMs() - cutMs >= LEASE_MS, 'the others start after the lease');
    reconnect(world);
    await assertCompletes(t, world, ['a', 'b']);
  });
});

describe('a silent target that comes back', () => {
  it('may report its run done after the copy: the job stays completed', async (t) => {
    const world = await createCopied({});
    await world.runUntil(() => world.runningCount === 0, 2_000);
    await world.run(REPORT_MS);
    t.equal(await statusOf(world, 'a'), 'completed');
    reconnect(world);
    await assertCompletes(t, world, ['a']);
    t.equal(world.observer.startsOf(TASK), 2, 'no third run');
  });

  it('may report its run done before the copy: the copy is stopped', async (t) => {
    const world = await createCopied({ t0: 2, t1: 20 });
    await world.runUntil(() => world.observer.isDone(TASK), 2_000);
    reconnect(world);
    await world.run(LEASE_MS / 2);
    t.equal(await statusOf(world, 'a'), 'completed');
    t.equal(world.runningCount, 0);
    t.equal(world.observer.startsOf(TASK), 2);
    await assertCompletes(t, world, ['a']);
  });

  it('has its run stopped once the copy is done, also by a new owner', async (t) => {
    // Fails if a successor adopts the run of a task that is done and lets it continue.
    const world = await createWorld({ targetCount: 2, runtimeMs: 400 });
    slowDown(world, { t0: 20 });
    await submit(world, 'a', [...steps(1), { ...steps(1)[0], taskCount: 1, afterSteps: [0] }]);
    cut(world, ['t0']);
    slowDown(world, { t0: 20, t1: 1 });
    await world.runUntil(() => world.observer.isDone(TASK), 2_000);
    slowDown(world, { t1: 20 });
    await world.runUntil(() => world.observer.startsOf('a.0.1.0') === 1, 1_000);
    await replaceOwner(world);
    reconnect(world);
    await world.run(1_000);
    t.equal(world.targets.get('t0')?.runningCount, 0);
    await assertCompletes(t, world, ['a']);
  });
});

describe('a change of owner', () => {
  it('between the record of a copy and its order lets the successor copy again', async (t) => {
    const world = await createWorld({ targetCount: 2 });
    slowDown(world, { t0: 20 });
    let orders = 0;
    interceptCopy(world, () => {
      orders += 1;
      world.killEntry(world.ownerId() ?? '');
    });
    await submit(world, 'a', steps(1));
    cut(world, ['t0']);
    t.ok(await world.runUntil(() => orders === 1, SILENCE_NOTICED_MS));
    await world.runUntil(() => world.observer.isDone(TASK), LEASE_MS);
    t.equal(world.observer.startsOf(TASK), 2, 'the recorded run never started');
    await assertCompletes(t, world, ['a']);
  });

  it('while both runs are live lets the successor adopt both', async (t) => {
    const world = await createCopied({ t0: 3, t1: 20 });
    await replaceOwner(world);
    reconnect(world);
    await world.run(4_000);
    t.equal(world.runningCount, 0, 'the copy is stopped once the first run is done');
    t.equal(world.observer.startsOf(TASK), 2);
    await assertCompletes(t, world, ['a']);
  });
});

describe('a target that is listed only after a change of owner', () => {
  it('is told to stop a run whose task was done meanwhile', async (t) => {
    // Fails if the stop order is dropped because the target has no driver yet.
    const world = await createCopied({ t0: 20 });
    Object.assign(world.targets.get('t0') ?? {}, { isListed: false });
    await replaceOwner(world);
    await world.runUntil(() => world.observer.isDone(TASK), 2_000);
    reconnect(world);
    Object.assign(world.targets.get('t0') ?? {}, { isListed: true });
    await world.run(1_000);
    t.equal(world.runningCount, 0);
    await assertCompletes(t, world, ['a']);
  });
});

describe('a cancellation', () => {
  it('stops both runs', async (t) => {
    const world = await createCopied({ t0: 20, t1: 20 });
    t.equal(world.runningCount, 2);
    void world.cancel('a');
    await world.run(STOP_MS);
    t.equal(world.runningCount, 1, 'the copy is stopped');
    reconnect(world);
    await world.run(STOP_MS);
    t.equal(world.runningCount, 0, 'the first run is stopped when its target answers');
    await world.run(LEASE_MS);
    t.equal(world.observer.startsOf(TASK), 2);
    t.same(world.observer.broken, []);
  });
});

describe('the team limit', () => {
  it('counts both runs, also that of a finished job at a new owner', async (t) => {
    // Fails if a successor adopts only the runs of unfinished jobs.
    const world = await createCopied({ t0: 20 }, { teamLimitCpuMilli: 2 * TASK_CPU_MILLI });
    slowDown(world, { t1: 10 });
    void world.submit('b', { steps: steps(2, false) });
    await world.run(100);
    t.equal(world.observer.startCount, 2, 'no room beside the two runs');
    await world.runUntil(() => world.observer.isDone(TASK), 2_000);
    await world.run(REPORT_MS);
    t.equal(await statusOf(world, 'a'), 'completed');
    await replaceOwner(world);
    let maxRuns = 0;
    await world.runUntil(() => {
      maxRuns = Math.max(maxRuns, world.runningCount);
      return world.observer.startsOf('b.0.0.1') > 0;
    }, 2 * LEASE_MS);
    t.ok(maxRuns <= 2, `${maxRuns} ran`);
    reconnect(world);
    await assertCompletes(t, world, ['a', 'b']);
  });

  it('permits no copy beyond it', async (t) => {
    const world = await createCopied({ t0: 20 }, { teamLimitCpuMilli: TASK_CPU_MILLI });
    await world.run(2_000);
    t.equal(world.observer.startsOf(TASK), 1);
  });
});

describe('copies', () => {
  it('stay within a tenth of the running tasks', async (t) => {
    const world = await createWorld({ targetCount: 4 });
    slowDown(world, { t0: 20, t1: 20, t2: 20, t3: 20 });
    await submit(world, 'a', steps(8));
    cut(world, ['t0', 't1']);
    await world.run(LEASE_MS - 1_000);
    t.equal(world.observer.startCount, 9);
  });

  it('do not start while work waits that found no room', async (t) => {
    const world = await createWorld({ targetCount: 2 });
    slowDown(world, { t0: 20, t1: 20 });
    await submit(world, 'a', steps(1));
    await submit(world, 'b', [{ taskCount: 1, cpuMilli: 5_000 }]);
    cut(world, ['t0']);
    await world.run(LEASE_MS - 1_000);
    t.equal(world.observer.startsOf(TASK), 1);
  });

  it('of a stalled run leave it running, and a stalled run without a copy is restarted', async (t) => {
    const world = await createWorld({ targetCount: 2 });
    stall(world, ['t0']);
    slowDown(world, { t1: 3 });
    void world.submit('a', { steps: steps(1) });
    await submit(world, 'b', steps(1, false));
    await world.runUntil(() => world.observer.startCount === 4, 4_000);
    await world.run(STOP_MS);
    t.equal(world.runningCount, 3, 'of the stalled runs, only that without a copy is stopped');
    await assertCompletes(t, world, ['a', 'b']);
    t.equal(world.runningCount, 0);
  });

  it('that stall as well are replaced', async (t) => {
    // Fails if two stalled runs of a task are each left alone because of the other.
    const world = await createWorld({ targetCount: 3 });
    stall(world, ['t0', 't1']);
    await submit(world, 'a', steps(1));
    await assertCompletes(t, world, ['a']);
    t.equal(world.observer.startsOf(TASK), 3);
  });

  it('continue from the checkpoint of the run that is further ahead', async (t) => {
    // Fails if the reports of a stalled run replace the checkpoint of its copy.
    const world = await createWorld({ targetCount: 3 });
    stall(world, ['t0']);
    slowDown(world, { t1: 20 });
    ['early', 'late'].forEach((checkpoint, index) =>
      Object.assign(world.targets.get(`t${index}`) ?? {}, { checkpoint }),
    );
    const orders = recordOrders(world);
    await submit(world, 'a', steps(1));
    await world.runUntil(() => orders.length === 2, 4_000);
    await world.run(1_000);
    cut(world, ['t1']);
    await assertCompletes(t, world, ['a']);
    t.same(
      orders.map(({ checkpoint }) => checkpoint),
      ['', 'early', 'late'],
    );
  });

  it('whose order is executed late do not start after an acknowledged end', async (t) => {
    // Fails if an end is acknowledged while a start order of another run is under way.
    const world = await createWorld({ targetCount: 2 });
    interceptCopy(world, ({ targetId }, order) => {
      reconnect(world);
      cut(world, [targetId]);
      world.clock.after(2_000, () => world.targets.get(targetId)?.start(order));
    });
    await submit(world, 'a', steps(1));
    cut(world, ['t0']);
    await world.run(4_000);
    t.same(world.observer.broken, []);
    reconnect(world);
    await assertCompletes(t, world, ['a']);
  });
});
