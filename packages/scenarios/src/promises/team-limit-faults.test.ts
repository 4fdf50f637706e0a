import { describe, it } from '@acaciadock/core/testing';
import { LIMIT, mostRunning, underLoad } from '../TeamLoad.js';

describe('No team has more running than its limit, through the loss of entries', () => {
  it('when an entry is killed and another takes its id at once', async (t) => {
    const { fleet } = await underLoad(async (running) => {
      running.kill(1);
      await running.replace(1);
      await running.clock.sleep(4_500);
    });
    const most = mostRunning(fleet);
    t.ok(most <= LIMIT, `at most ${LIMIT} ran at once, ${most} seen`);
    t.ok(most >= LIMIT, `the whole limit was used, ${most} seen`);
  });

  it('through a log outage, with an entry killed in the middle of it', async (t) => {
    const { fleet } = await underLoad(async (running) => {
      Object.assign(running.log.faults, { down: true });
      await running.clock.sleep(1_000);
      running.kill(2);
      running.directory.remove('e2');
      await running.clock.sleep(1_500);
      Object.assign(running.log.faults, { down: false });
    });
    t.ok(mostRunning(fleet) <= LIMIT);
  });
});
