/** Plays pools whose work is limited by other resources than CPU, and checks their sizes. */
import { describe, it } from '@acaciadock/core/testing';
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
});
