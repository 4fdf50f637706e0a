/** Two teams at a pool of 16 cores, whose jobs take 4 cores each for half a second. */
import { describe, it } from '@acaciadock/core/testing';
import { type JobWorld } from './testing/JobWorld.js';
import { createWorld, ONE_STEP } from './testing/takeoverHelpers.js';

const RUNTIME_MS = 500;
const PASS_MS = 60;

function createTeams(): Promise<JobWorld> {
  return createWorld({ runtimeMs: RUNTIME_MS, weights: { a: 20, b: 20 } });
}

function submitAll(world: JobWorld, jobIds: readonly string[]): void {
  jobIds.forEach((jobId) => {
    void world.call(jobId, { steps: ONE_STEP }, { teamId: jobId.slice(0, 1) });
  });
}

function started(world: JobWorld, jobIds: readonly string[]): string {
  return jobIds.filter((jobId) => world.observer.startsOf(`${jobId}.0.0.0`) > 0).join(' ');
}

describe('two teams', () => {
  it('are served by slack while the last pass left nothing without room', async (t) => {
    const world = await createTeams();
    const jobIds = ['a1', 'a2', 'a3', 'b1', 'b2'];
    submitAll(world, jobIds);
    await world.run(PASS_MS);
    t.equal(started(world, jobIds), 'a1 a2 a3 b1');
  });

  it('are served by their shares under scarcity', async (t) => {
    // Fails if the order is by slack alone: the first team's older jobs then take all room again.
    const world = await createTeams();
    // Runtimes are known from here on, so that older jobs have less slack.
    submitAll(world, ['a0', 'b0']);
    await world.run(4 * RUNTIME_MS);
    const later = ['a5', 'a6', 'a7', 'a8'];
    submitAll(world, ['a1', 'a2', 'a3', 'a4', ...later]);
    await world.run(RUNTIME_MS / 2);
    submitAll(world, ['b1', 'b2']);
    const haveStarted = await world.runUntil(
      () => started(world, ['b1', 'b2']) === 'b1 b2',
      3 * RUNTIME_MS,
    );
    t.ok(haveStarted);
    t.not(started(world, later), later.join(' '));
    t.same(world.observer.broken, []);
  });
});
