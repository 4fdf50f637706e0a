/**
 * Starts on targets that have been idle for long, right before the owner changes. Guards against a lease that is
 * longer than a successor takes it to be: it then starts the task elsewhere while its run is still at work on a target
 * that it can't reach (review/12).
 */
import { LONG_RUNNING_PREFIX } from '@acaciadock/coordinator/testing';
import { describe, it } from '@acaciadock/core/testing';
import { type JobWorld } from './testing/JobWorld.js';
import { createWorld, type StepInput } from './testing/takeoverHelpers.js';

/** Slow enough for 2 % of it to be longer than the clock of the slowest target may be off otherwise. */
const IDLE_MS = 85_000;
const OBSERVED_MS = 13_000;
const TIMEOUT_MS = 8_000;

/** Longest time until a task of a target that is lost at a planned stop starts elsewhere, in milliseconds. */
const RESTART_MS = 5_400;

/** A long limit of the targets, as on some deployments: only what owners ask for bounds the leases. */
const WORLD = { entryCount: 5, targetCount: 6, maxLeaseMs: 10_000 } as const;

const ONE: readonly StepInput[] = [{ taskCount: 1, cpuMilli: 100 }];
const GANG: readonly StepInput[] = [{ taskCount: 2, cpuMilli: 3_000, gang: true }];
const LASTING: readonly StepInput[] = [{ taskCount: 1, cpuMilli: 100, longRunning: true }];

type Change = (world: JobWorld) => Promise<void>;

async function nextOwner(world: JobWorld, formerId: string): Promise<void> {
  await world.runUntil(() => ![undefined, formerId].includes(world.ownerId()), TIMEOUT_MS);
}

async function stopOwner(world: JobWorld): Promise<void> {
  const ownerId = world.ownerId() ?? '';
  void world.entries.get(ownerId)?.leave();
  await nextOwner(world, ownerId);
}

const CHANGES: Readonly<Record<string, Change>> = {
  'a planned stop': stopOwner,
  'a kill': async (world) => {
    const ownerId = world.ownerId() ?? '';
    world.killEntry(ownerId);
    await nextOwner(world, ownerId);
  },
  'two planned stops in a row': async (world) => {
    await stopOwner(world);
    await stopOwner(world);
  },
};

/** Cuts the targets that run something off from all entries. */
function cutBusyTargets(world: JobWorld): void {
  world.targets.forEach(({ targetId, runningCount }) => {
    if (runningCount === 0) return;
    world.entries.forEach(({ portFaults }) => portFaults.cutTargets.add(targetId));
  });
}

interface Play {
  readonly steps: readonly StepInput[];
  readonly clockRate: number;
  readonly isReborn: boolean;
}

/** Lets the targets be idle, starts a job, cuts its targets off and changes the owner at once. */
async function play({ steps, clockRate, isReborn }: Play, change: Change): Promise<JobWorld> {
  const world = await createWorld({ ...WORLD, runtimeMs: 20_000 });
  world.targets.forEach((target) => Object.assign(target, { clockRate }));
  await world.run(isReborn ? 2_000 : IDLE_MS);
  if (isReborn) world.targets.forEach((target) => target.restart());
  const spec = steps[0]?.longRunning ? LONG_RUNNING_PREFIX : '';
  void world.submit('a', { spec, steps });
  await world.runUntil(() => world.runningCount === (steps[0]?.taskCount ?? 0), 1_500);
  const { startCount } = world.observer;
  const changed = change(world);
  cutBusyTargets(world);
  await changed;
  await world.run(OBSERVED_MS);
  if (world.observer.startCount === startCount) world.observer.broken.push('nothing starts again');
  return world;
}

describe('a start on a target that was idle, right before the owner changes', () => {
  Object.entries(CHANGES).forEach(([name, change]) => {
    [0.98, 1].forEach((clockRate) => {
      it(`does not run elsewhere at the same time: ${name}, clocks at ${clockRate}`, async (t) => {
        const world = await play({ steps: ONE, clockRate, isReborn: false }, change);
        t.same(world.observer.broken, []);
      });

      it(`does not either if the target has begun a new lifetime unnoticed: ${name}, clocks at ${clockRate}`, async (t) => {
        const world = await play({ steps: ONE, clockRate, isReborn: true }, change);
        t.same(world.observer.broken, []);
      });
    });
  });

  Object.entries({ 'a gang': GANG, 'a task that lasts': LASTING }).forEach(([name, steps]) => {
    it(`does not run elsewhere at the same time: ${name}`, async (t) => {
      const world = await play({ steps, clockRate: 0.98, isReborn: false }, stopOwner);
      t.same(world.observer.broken, []);
    });
  });

  it('does not come later than on a target that is in use', async (t) => {
    // Fails if the check that precedes the start is not made while the run is being journaled.
    const world = await createWorld({ runtimeMs: 1_000 });
    await world.run(20_000);
    const fromMs = world.clock.monotonicMs();
    void world.submit('a', { steps: ONE });
    await world.runUntil(() => world.runningCount === 1, 1_000);
    const tookMs = world.clock.monotonicMs() - fromMs;
    t.ok(tookMs <= 30, `${tookMs} ms`);
  });
});

describe('an idle target that comes back as another kind', () => {
  it('starts no task that requires its former label, before its registration is read', async (t) => {
    // Fails if a start is sent on the strength of what was known of a former lifetime (review/15).
    const world = await createWorld({ targetCount: 2 });
    await world.run(5_000);
    world.targets.forEach((target) => {
      target.restart();
      Object.assign(target, { kind: 'b' });
    });
    void world.submit('a', { steps: [{ taskCount: 1, cpuMilli: 100, requiredLabel: 'a' }] });
    void world.submit('b', { steps: [{ taskCount: 1, cpuMilli: 100, requiredLabel: 'b' }] });
    await world.run(3_000);
    t.equal(world.observer.startsOf('a.0.0.0'), 0);
    t.equal(world.observer.startsOf('b.0.0.0'), 1);
  });
});

describe('a task of a target that is lost at a hand-over', () => {
  it('starts elsewhere within a lease if the former owner bounds its leases', async (t) => {
    const world = await createWorld({ ...WORLD, runtimeMs: 20_000 });
    void world.submit('a', { steps: ONE });
    await world.run(2_000);
    const { startCount } = world.observer;
    const stopped = stopOwner(world);
    cutBusyTargets(world);
    await stopped;
    const ownedMs = world.clock.monotonicMs();
    await world.runUntil(() => world.observer.startCount > startCount, OBSERVED_MS);
    const tookMs = world.clock.monotonicMs() - ownedMs;
    t.ok(tookMs <= RESTART_MS, `${tookMs} ms`);
    t.same(world.observer.broken, []);
  });
});

describe('a successor of an owner that does not bound its leases, as earlier builds', () => {
  /** Rewrites the owner record as an earlier build writes it. */
  function forgetBound(world: JobWorld): void {
    const { records } = world.store.newest();
    const value = records.find(({ key }) => key === 'incumbent')?.value;
    const { leaseBoundMs, ...record } = JSON.parse(String(value)) as Record<string, unknown>;
    if (leaseBoundMs === undefined) throw new Error('the record has no bound');
    const at = world.store.records.length;
    world.store.append(at, [{ key: 'incumbent', value: Buffer.from(JSON.stringify(record)) }]);
  }

  async function restartOf(change: Change): Promise<number> {
    const world = await createWorld({ ...WORLD, runtimeMs: 20_000 });
    void world.submit('a', { steps: ONE });
    await world.run(2_000);
    const { startCount } = world.observer;
    world.killEntry(world.ownerId() ?? '');
    cutBusyTargets(world);
    forgetBound(world);
    await world.runUntil(() => world.owner !== undefined, TIMEOUT_MS);
    const ownedMs = world.clock.monotonicMs();
    await change(world);
    await world.runUntil(() => world.observer.startCount > startCount, 20_000);
    return world.clock.monotonicMs() - ownedMs;
  }

  it('waits for the longest lease that targets grant', async (t) => {
    const tookMs = await restartOf(async () => {});
    t.ok(tookMs >= WORLD.maxLeaseMs / 0.98, `${tookMs} ms`);
  });

  it('waits for it also if that successor stops meanwhile', async (t) => {
    // Fails if the bound of the last owner is taken for that of all before it.
    const tookMs = await restartOf(stopOwner);
    t.ok(tookMs >= WORLD.maxLeaseMs / 0.98, `${tookMs} ms`);
  });
});
