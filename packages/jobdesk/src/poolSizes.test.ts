/** Plays pools whose work is limited by other resources than CPU, and checks their sizes. */
import { LONG_RUNNING_PREFIX } from '@acaciadock/coordinator/testing';
import { describe, it } from '@acaciadock/core/testing';
import { type JobWorld } from './testing/JobWorld.js';
import { createWorld } from './testing/takeoverHelpers.js';

/** One move, in milliseconds. */
const MOVE_MS = 1_500;

/** A round of the control loop, the list of targets and the start orders, in milliseconds. */
const SLACK_MS = 1_000;

describe('the size of a pool', () => {
  it('gives memory-bound work room after one round', async (t) => {
    // Fails if only CPU is counted: all the tasks together need less than one instance of it.
    const taskCount = 20;
    const world = await createWorld({
      targetCount: 0,
      instanceCount: 2,
      spareCount: taskCount,
      runtimeMs: 60_000,
    });
    void world.submit('j', { steps: [{ taskCount, cpuMilli: 100, memoryMb: 40_000 }] });
    await world.run(MOVE_MS + SLACK_MS);
    t.equal(world.runningCount, taskCount);
    t.same(world.observer.broken, []);
  });

  it('does not count instances that are down', async (t) => {
    // Fails if an instance counts as soon as the registry has dropped its crashed target.
    const taskCount = 4;
    const world = await createWorld({
      targetCount: 0,
      instanceCount: taskCount,
      spareCount: taskCount,
      runtimeMs: 60_000,
    });
    [...world.targets.values()].slice(1).forEach((target) => {
      target.crash();
      Object.assign(target, { isListed: false });
    });
    await world.run(5_000);
    void world.submit('j', { steps: [{ taskCount, cpuMilli: 4_000 }] });
    await world.run(MOVE_MS + SLACK_MS);
    t.equal(world.runningCount, taskCount);
  });

  it('replaces instances that drain', async (t) => {
    // Fails if an instance that takes no more tasks counts until it is gone.
    const taskCount = 4;
    const world = await createWorld({
      targetCount: 0,
      instanceCount: taskCount,
      spareCount: taskCount,
      runtimeMs: 60_000,
    });
    void world.submit('l', {
      spec: LONG_RUNNING_PREFIX,
      steps: [{ taskCount, cpuMilli: 500, longRunning: true, mostPerTarget: 1 }],
    });
    await world.run(3_000);
    t.equal(world.runningCount, taskCount);
    [...world.targets.values()].slice(1).forEach((target) => {
      Object.assign(target, { isDraining: true });
    });
    await world.run(MOVE_MS + SLACK_MS);
    t.equal(world.runningCount, taskCount);
  });

  it('does not grow for a task that instances offer too little capacity for', async (t) => {
    // Fails if the pool takes one instance after the other, as each could hold the task by its listing.
    const instanceCount = 2;
    const world = await createWorld({ targetCount: 0, instanceCount, spareCount: 8 });
    for (let round = 0; round < 1_000; round += 1) {
      if (round === 200) void world.submit('j', { steps: [{ taskCount: 1, cpuMilli: 2_000 }] });
      world.targets.forEach((target) => target.setCapacity(1_000));
      await world.run(10);
    }
    t.ok((world.fleet?.countIn('pool') ?? 0) <= instanceCount);
  });

  describe('with long-running tasks on every instance', () => {
    const instanceCount = 4;

    async function createOccupiedWorld(): Promise<JobWorld> {
      const world = await createWorld({
        targetCount: 0,
        instanceCount,
        spareCount: 4,
        runtimeMs: 60_000,
      });
      const longRunning = { cpuMilli: 500, memoryMb: 40_000, longRunning: true };
      void world.submit('l', {
        spec: LONG_RUNNING_PREFIX,
        steps: [{ taskCount: instanceCount, ...longRunning }],
      });
      await world.run(3_000);
      return world;
    }

    it('gives a task room that none of them has left', async (t) => {
      // Fails if the sum of all free memory counts as room: the task then waits for good.
      const world = await createOccupiedWorld();
      t.equal(world.runningCount, instanceCount);
      void world.submit('j', { steps: [{ taskCount: 1, cpuMilli: 500, memoryMb: 30_000 }] });
      await world.run(MOVE_MS + SLACK_MS);
      t.equal(world.observer.startsOf('j.0.0.0'), 1);
      await world.run(5_000);
      t.equal(world.fleet?.countIn('pool'), instanceCount + 1, 'one instance is enough');
    });

    it('adds none for a task that fits on no instance', async (t) => {
      const world = await createOccupiedWorld();
      void world.submit('j', { steps: [{ taskCount: 1, cpuMilli: 500, memoryMb: 70_000 }] });
      await world.run(5_000);
      t.equal(world.fleet?.countIn('pool'), instanceCount);
    });
  });
});
