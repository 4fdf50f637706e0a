/** Jobs that have nothing running although targets have room, and how they are logged. */
import { RecordingLogger } from '@acaciadock/coordinator/testing';
import { describe, it } from '@acaciadock/core/testing';
import { type JobWorld } from './testing/JobWorld.js';
import { createWorld, ONE_TASK } from './testing/takeoverHelpers.js';

/** Silence before a job is logged and a period of the check, in milliseconds. */
const LOGGED_WITHIN_MS = 4_500;

/** Crashes the target that runs something, for good. */
function loseBusyTarget(world: JobWorld): void {
  const busy = [...world.targets.values()].find(({ runningCount }) => runningCount > 0);
  busy?.crash();
}

describe('a job that has nothing running', () => {
  it('is logged with the state of its run while other targets have room', async (t) => {
    const logger = new RecordingLogger();
    const world = await createWorld({ logger, runtimeMs: 60_000 });
    void world.submit('a', { steps: ONE_TASK });
    await world.run(60);
    // The new owner can't tell whether the run is still at work on the silent target.
    world.killEntry(world.ownerId() ?? '');
    loseBusyTarget(world);
    await world.runUntil(() => world.owner !== undefined, 5_000);
    await world.run(LOGGED_WITHIN_MS);
    const [line] = logger.of('job-waits');
    t.match(line, { jobId: 'a', taskId: 'a.0.0.0', phase: 'uncertain', lastRun: 1 });
  });

  it('is not logged while it waits for room, nor while it runs', async (t) => {
    const logger = new RecordingLogger();
    const world = await createWorld({ logger, targetCount: 1, runtimeMs: 60_000 });
    void world.submit('a', { steps: [{ taskCount: 1, cpuMilli: 4_000 }] });
    await world.run(100);
    void world.submit('b', { steps: [{ taskCount: 1, cpuMilli: 1_000 }] });
    await world.run(2 * LOGGED_WITHIN_MS);
    t.equal(world.runningCount, 1);
    t.same(logger.of('job-waits'), []);
  });
});
