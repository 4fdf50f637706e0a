/** Upkeep of instances that run long-running tasks, with a real controller in virtual time. */
import { LONG_RUNNING_PREFIX, RecordingLogger } from '@acaciadock/coordinator/testing';
import { type Logger, SilentLogger } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { DEFAULT_WORLD, type JobInput, JobWorld } from './testing/JobWorld.js';

const LONG_RUNNING_STEP = {
  taskCount: 3,
  cpuMilli: 500,
  longRunning: true,
  mostUnavailable: 1,
};

const STEP_MS = 100;

async function createWorld(
  instanceCount: number,
  spareCount: number,
  step: JobInput['steps'][number] = LONG_RUNNING_STEP,
  logger: Logger = new SilentLogger(),
): Promise<JobWorld> {
  const fleet = { targetCount: 0, instanceCount, spareCount };
  const world = new JobWorld({ ...DEFAULT_WORLD, ...fleet, logger });
  await world.runUntil(() => world.owner !== undefined, 5_000);
  await world.run(1_000);
  void world.submit('serving', { spec: LONG_RUNNING_PREFIX, steps: [step] });
  await world.run(1_000);
  return world;
}

/** The longest continuous time for which fewer than `minRunning` tasks ran, in milliseconds. */
async function longestBelow(world: JobWorld, minRunning: number, forMs: number): Promise<number> {
  let longest = 0;
  let current = 0;
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += STEP_MS) {
    await world.run(STEP_MS);
    current = world.runningCount < minRunning ? current + STEP_MS : 0;
    longest = Math.max(longest, current);
  }
  return longest;
}

describe('upkeep', () => {
  describe('of the only instance of a pool', () => {
    it('moves the tasks one by one to an instance that was added for them', async (t) => {
      // Fails if the instance that is being drained counts as capacity of its pool, or if a task is
      // stopped before another target can take it.
      const world = await createWorld(1, 2);
      t.equal(world.runningCount, 3, 'all tasks run');
      world.waves.push({ waveId: 1, instanceIds: ['m0'], dueMs: 30_000, mostAtOnce: 1 });
      const belowMs = await longestBelow(world, 2, 20_000);
      t.same(world.fleet?.upkeeps, ['m0'], 'the upkeep has begun');
      t.equal(belowMs, 0, 'never more than one task down');
      t.equal(world.runningCount, 3, 'all tasks run again');
      t.same(world.observer.broken, []);
    });
  });

  describe('of a whole pool', () => {
    it('is done in time, with no more instances down at once than allowed', async (t) => {
      const world = await createWorld(4, 1);
      const instanceIds = ['m0', 'm1', 'm2', 'm3', 's0'];
      world.waves.push({ waveId: 1, instanceIds, dueMs: 40_000, mostAtOnce: 2 });
      const belowMs = await longestBelow(world, 2, 38_000);
      t.same([...(world.fleet?.upkeeps ?? [])].sort(), instanceIds, 'each instance once');
      t.ok((world.fleet?.maxDown ?? 9) <= 2);
      t.equal(belowMs, 0, 'never more than one task down');
      t.equal(world.runningCount, 3);
    });
  });

  describe('by an owner that stands still once its order is journaled', () => {
    [true, false].forEach((keepsTime) => {
      const time = keepsTime ? 'goes on' : 'stands still';
      it(`is not ordered after another entry owns the journal, if monotonic time ${time}`, async (t) => {
        // Fails if an order is sent as soon as its record is durable, however long ago that was.
        for (const pauseMs of [2_000, 3_500, 6_000]) {
          const logger = new RecordingLogger();
          const world = await createWorld(4, 0, LONG_RUNNING_STEP, logger);
          // Time for the pause between the append and its answer.
          Object.assign(world.store.faults, { latencyMs: 60 });
          const instanceIds = ['m0', 'm1', 'm2', 'm3'];
          world.waves.push({ waveId: 1, instanceIds, dueMs: 60_000, mostAtOnce: 1 });
          await world.runUntil(() => logger.of('upkeep-chosen').length > 0, 20_000);
          const formerToken = world.store.announced?.epoch;
          const owner = world.owner!;
          const ownerId = world.ownerId();
          owner.clock.pause(keepsTime);
          await world.runUntil(() => (world.ownerId() ?? ownerId) !== ownerId, pauseMs);
          t.not(world.ownerId() ?? ownerId, ownerId, 'another entry owns the journal');
          await world.run(pauseMs);
          const sentBefore = world.fleet?.tokens.length ?? 0;
          owner.clock.resume();
          await world.run(1_000);
          const late = world.fleet?.tokens.slice(sentBefore).filter((one) => one === formerToken);
          t.same(late, [], `no order of the former owner after ${pauseMs} ms`);
          t.notOk(owner.isOwner);
        }
      });
    });
  });

  describe('while a target of the step does not respond', () => {
    it('stops no other task of the step', async (t) => {
      const world = await createWorld(3, 0, { ...LONG_RUNNING_STEP, mostPerTarget: 2 });
      const [lone] = [...world.targets.values()].filter((target) => target.runningCount === 1);
      t.ok(lone, 'two on one target, one on the other');
      lone?.crash();
      await world.run(2_000);
      world.waves.push({
        waveId: 1,
        instanceIds: ['m0', 'm1'],
        dueMs: world.clock.monotonicMs() + 4_000,
        mostAtOnce: 2,
      });
      t.equal(await longestBelow(world, 2, 2_000), 0, 'the other two tasks keep running');
      t.same(world.observer.broken, []);
    });
  });
});
