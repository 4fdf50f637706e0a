import { describe, it } from '@acaciadock/core/testing';
import { TEAM_LIMIT, maxConcurrentRuns, runUnderLoad } from '../TeamLoad.js';

describe('No team runs more than its limit when entries are lost', () => {
  it('when an entry is killed and another takes its id at once', async (t) => {
    const { fleet } = await runUnderLoad(async (running) => {
      running.kill(1);
      await running.replace(1);
      await running.clock.sleep(4_500);
    });
    const maxRunning = maxConcurrentRuns(fleet);
    t.ok(
      maxRunning <= TEAM_LIMIT,
      `expected at most ${TEAM_LIMIT} runs at once, saw ${maxRunning}`,
    );
    t.ok(maxRunning >= TEAM_LIMIT, `expected the limit to be reached, saw ${maxRunning}`);
  });

  it('when an entry is killed during an outage of the log', async (t) => {
    const { fleet } = await runUnderLoad(async (running) => {
      Object.assign(running.log.faults, { down: true });
      await running.clock.sleep(1_000);
      running.kill(2);
      running.directory.remove('e2');
      await running.clock.sleep(1_500);
      Object.assign(running.log.faults, { down: false });
    });
    t.ok(maxConcurrentRuns(fleet) <= TEAM_LIMIT);
  });
});
