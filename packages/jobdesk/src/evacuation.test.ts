/**
 * Evacuation of zones: starts, the runs already there, long-running tasks and pool sizes. Targets
 * and instances are spread over three zones, so `t0`, `t3` and so on are in `z0`.
 */
import { LONG_RUNNING_PREFIX, RecordingLogger } from '@acaciadock/coordinator/testing';
import { describe, it } from '@acaciadock/core/testing';
import { type JobWorld } from './testing/JobWorld.js';
import {
  assertCompletes,
  createWorld,
  ONE_STEP,
  ONE_TASK,
  submit,
} from './testing/takeoverHelpers.js';

const ZONES = { zoneCount: 3, targetCount: 6, evacuateMs: 5_000 };
const ALL_ZONES = ['z0', 'z1', 'z2'];

/** Time for an owner to read a request of the operator, in milliseconds. */
const READ_MS = 200;

function startsIn(world: JobWorld, zoneId: string): number {
  return [...world.targets.values()]
    .filter((target) => target.entry.zoneId === zoneId)
    .reduce((sum, target) => sum + world.observer.startsOn(target.targetId), 0);
}

function runningIn(world: JobWorld, zoneId: string): number {
  return [...world.targets.values()]
    .filter((target) => target.entry.zoneId === zoneId)
    .reduce((sum, target) => sum + target.runningCount, 0);
}

async function submitMany(world: JobWorld, prefix: string, count: number): Promise<string[]> {
  const jobIds = Array.from({ length: count }, (_, index) => `${prefix}${index}`);
  for (const jobId of jobIds) await submit(world, jobId);
  return jobIds;
}

describe('the evacuation of a zone', () => {
  it('starts nothing there after the request and stops nothing that runs', async (t) => {
    const logger = new RecordingLogger();
    const world = await createWorld({ ...ZONES, logger });
    const jobIds = await submitMany(world, 'a', 6);
    t.ok(runningIn(world, 'z0') > 0, 'tasks run in the zone');
    world.evacuate('z0');
    await world.run(READ_MS);
    const starts = startsIn(world, 'z0');
    jobIds.push(...(await submitMany(world, 'b', 20)));
    await assertCompletes(t, world, jobIds);
    t.equal(startsIn(world, 'z0'), starts);
    t.equal(world.observer.startCount, jobIds.length * 4, 'each task started once');
    t.equal(logger.of('zone-evacuation-requested').length, 1);
    const [{ seconds }] = logger.of('zone-evacuated') as [{ seconds: number }];
    t.ok(seconds > 0 && seconds < 2, `${seconds} s, about one runtime`);
  });

  it('does not send the start of a run that was planned before the request', async (t) => {
    // Fails if only the placement of tasks checks the zone: the append of the plan takes longer
    // than the request needs to arrive.
    const world = await createWorld(ZONES);
    Object.assign(world.store.faults, { latencyMs: 700 });
    void world.submit('a', { steps: [{ taskCount: 24, cpuMilli: 1_000 }] });
    await world.run(300);
    world.evacuate('z1');
    await world.run(700);
    t.ok(world.observer.startCount > 0, 'tasks start elsewhere');
    t.equal(startsIn(world, 'z1'), 0);
    Object.assign(world.store.faults, { latencyMs: 4 });
    await assertCompletes(t, world, ['a']);
    t.equal(startsIn(world, 'z1'), 0);
  });

  it('holds for an owner that wakes after a pause, before it has read the request', async (t) => {
    // Fails without a bound on the age of the operator's records: the answer to an append, which
    // was sent before the pause, makes the owner start its planned runs.
    const world = await createWorld({ ...ZONES, entryCount: 1 });
    const { owner } = world;
    Object.assign(world.store.faults, { latencyMs: 300 });
    void world.submit('a', { steps: [...ONE_STEP] });
    await world.run(100);
    owner?.clock.pause(true);
    ALL_ZONES.forEach((zoneId) => world.evacuate(zoneId));
    await world.run(6_000);
    Object.assign(owner ?? {}, { isFeedCut: true });
    owner?.clock.resume();
    await world.run(500);
    Object.assign(owner ?? {}, { isFeedCut: false });
    await world.run(1_000);
    t.equal(world.observer.startCount, 0);
    world.withdrawEvacuation('z2');
    await assertCompletes(t, world, ['a']);
    t.equal(startsIn(world, 'z2'), 4);
  });

  it('starts nothing anywhere while its records are too old, where a bound applies', async (t) => {
    const world = await createWorld({ ...ZONES, entryCount: 1 });
    Object.assign(world.owner ?? {}, { isFeedCut: true });
    await world.run(4_100);
    await submit(world, 'a');
    t.equal(world.observer.startCount, 0);
    Object.assign(world.owner ?? {}, { isFeedCut: false });
    await assertCompletes(t, world, ['a']);
  });

  it('does not stop work for want of recent records where no bound applies', async (t) => {
    // Fails if a deployment without evacuations depends on reads of the operator's records.
    const world = await createWorld({ ...ZONES, entryCount: 1, evacuateMs: undefined });
    Object.assign(world.owner ?? {}, { isFeedCut: true });
    await world.run(10_000);
    await submit(world, 'a');
    await assertCompletes(t, world, ['a']);
  });

  it('uses the zone again when the request is withdrawn midway', async (t) => {
    const logger = new RecordingLogger();
    const world = await createWorld({ ...ZONES, logger });
    world.evacuate('z0');
    await world.run(READ_MS);
    const jobIds = await submitMany(world, 'a', 20);
    t.equal(startsIn(world, 'z0'), 0);
    world.withdrawEvacuation('z0');
    jobIds.push(...(await submitMany(world, 'b', 20)));
    t.ok(startsIn(world, 'z0') > 0);
    t.same(logger.of('zone-evacuation-ended'), [{ zoneId: 'z0' }]);
    await assertCompletes(t, world, jobIds);
  });

  it('holds for two zones at once, also after a change of owner', async (t) => {
    const world = await createWorld(ZONES);
    ['z0', 'z2'].forEach((zoneId) => world.evacuate(zoneId));
    await world.run(READ_MS);
    const jobIds = await submitMany(world, 'a', 6);
    world.killEntry(world.ownerId() ?? '');
    await world.runUntil(() => world.owner !== undefined, 10_000);
    jobIds.push(...(await submitMany(world, 'b', 6)));
    await assertCompletes(t, world, jobIds);
    t.same([startsIn(world, 'z0'), startsIn(world, 'z2')], [0, 0]);
  });

  it('of all zones starts and stops nothing, and is logged', async (t) => {
    const logger = new RecordingLogger();
    const world = await createWorld({ ...ZONES, logger });
    const step = { taskCount: 4, cpuMilli: 500, longRunning: true, mostUnavailable: 4 };
    void world.submit('serving', { spec: LONG_RUNNING_PREFIX, steps: [step] });
    await world.run(1_000);
    ALL_ZONES.forEach((zoneId) => world.evacuate(zoneId));
    await world.run(READ_MS);
    await submit(world, 'a');
    await world.run(5_000);
    t.equal(world.observer.startCount, 4, 'only the long-running tasks');
    t.equal(world.runningCount, 4);
    t.equal(logger.of('all-zones-evacuated').length, 1);
    t.equal(logger.of('evacuation-lacks-room').length, 1);
  });

  it('leaves targets to use while those outside the zones fail', async (t) => {
    // Fails if targets of evacuated zones count in the fraction of a pool that may be ejected: then
    // every target outside the zones may be ejected at once, and nothing starts for 3 s.
    const logger = new RecordingLogger();
    const world = await createWorld({ ...ZONES, logger });
    ['z0', 'z1'].forEach((zoneId) => world.evacuate(zoneId));
    await world.run(READ_MS);
    world.targets.forEach((target) => Object.assign(target, { isStalling: true }));
    for (const jobId of ['a0', 'a1', 'a2']) await submit(world, jobId, ONE_TASK);
    const areEjected = (): boolean => logger.of('target-ejected').length >= 2;
    t.ok(await world.runUntil(areEjected, 30_000), 'both targets of z2 are ejected');
    world.targets.forEach((target) => Object.assign(target, { isStalling: false }));
    await submit(world, 'b', ONE_TASK);
    await world.run(500);
    t.equal(world.observer.startsOf('b.0.0.0'), 1);
  });

  it('of an unknown zone is logged and holds for targets that appear later', async (t) => {
    const logger = new RecordingLogger();
    const world = await createWorld({ targetCount: 1, logger });
    world.evacuate('z9');
    await world.run(READ_MS);
    t.same(logger.of('evacuated-zone-without-targets'), [{ zoneId: 'z9' }]);
    world.addTarget('late', 'z9');
    await assertCompletes(t, world, await submitMany(world, 'a', 6));
    t.equal(world.observer.startsOn('late'), 0);
  });
});

describe('the evacuation of a zone with long-running tasks', () => {
  it('moves them within their budget, to instances added for them outside the zone', async (t) => {
    // Fails if instances of the zone count towards the size of the pool or are added to it: then no
    // instance is added, or the tasks get one of the zone.
    const world = await createWorld({
      targetCount: 0,
      instanceCount: 1,
      spareCount: 4,
      zoneCount: 2,
    });
    const step = { taskCount: 3, cpuMilli: 500, longRunning: true, mostUnavailable: 1 };
    void world.submit('serving', { spec: LONG_RUNNING_PREFIX, steps: [step] });
    await world.run(1_000);
    t.equal(runningIn(world, 'z0'), 3, 'all on the only instance of the pool');
    world.evacuate('z0');
    let least = 3;
    let mostOfZone = 0;
    for (let round = 0; round < 1_000; round += 1) {
      await world.run(10);
      least = Math.min(least, world.runningCount);
      const ofZone = world.fleet?.zonesIn('pool').filter((zoneId) => zoneId === 'z0').length ?? 0;
      mostOfZone = Math.max(mostOfZone, ofZone);
    }
    t.equal(least, 2, 'never more than one task down');
    t.same([runningIn(world, 'z0'), runningIn(world, 'z1')], [0, 3]);
    t.equal(mostOfZone, 1, 'no instance of the zone was added');
    t.same(
      world.fleet?.zonesIn('pool'),
      ['z1'],
      'the empty instance of the zone has left the pool',
    );
    t.same(world.observer.broken, []);
  });

  it('gives instances of a zone that is taken back to the pool again', async (t) => {
    // Fails if an instance that left its pool with the zone stays closed afterwards.
    const world = await createWorld({
      targetCount: 0,
      instanceCount: 1,
      spareCount: 2,
      zoneCount: 2,
    });
    world.evacuate('z0');
    await world.run(4_000);
    t.same(world.fleet?.zonesIn('pool'), ['z1'], 'one outside the zone has taken its place');
    world.withdrawEvacuation('z0');
    await world.run(500);
    world.evacuate('z1');
    await world.run(6_000);
    t.same(world.fleet?.zonesIn('pool'), ['z0']);
    await submit(world, 'a');
    await assertCompletes(t, world, ['a']);
    t.equal(startsIn(world, 'z0'), 4);
  });

  it('keeps upkeep in time for instances of the zone, in their pool and after they left it', async (t) => {
    // Fails if a move out of the zone makes the wave miss an instance.
    const world = await createWorld({
      targetCount: 0,
      instanceCount: 4,
      spareCount: 4,
      zoneCount: 2,
    });
    const instanceIds = ['m0', 'm1', 'm2', 'm3', 's0', 's2'];
    const dueMs = world.clock.monotonicMs() + 12_000;
    world.waves.push({ waveId: 1, instanceIds, dueMs, mostAtOnce: 2 });
    await world.run(300);
    world.evacuate('z0');
    await world.run(3_000);
    world.killEntry(world.ownerId() ?? '');
    await world.run(3_000);
    world.evacuate('z1');
    await world.run(5_500);
    t.same([...(world.fleet?.upkeeps ?? [])].sort(), instanceIds, 'each instance once, in time');
    t.ok((world.fleet?.maxDown ?? 9) <= 2);
  });

  it('stops none while the owner has no answer from the store', async (t) => {
    // Fails if moves do not check the ownership: a task that is stopped can't start elsewhere, and
    // another owner may be moving tasks of the same step.
    const world = await createWorld({ ...ZONES, entryCount: 1 });
    const step = { taskCount: 3, cpuMilli: 500, longRunning: true, mostUnavailable: 3 };
    void world.submit('serving', { spec: LONG_RUNNING_PREFIX, steps: [step] });
    await world.run(1_000);
    t.equal(world.runningCount, 3);
    Object.assign(world.owner?.storeFaults ?? {}, { isDown: true });
    await world.run(2_200);
    ALL_ZONES.filter((zoneId) => runningIn(world, zoneId) > 0).forEach((zoneId) =>
      world.evacuate(zoneId),
    );
    await world.run(1_500);
    t.equal(world.runningCount, 3);
    Object.assign(world.owner?.storeFaults ?? {}, { isDown: false });
    await world.run(5_000);
    t.equal(world.runningCount, 3);
    t.same(world.observer.broken, []);
    world.evacuatedZones.forEach((_, zoneId) => t.equal(runningIn(world, zoneId), 0));
  });
});
