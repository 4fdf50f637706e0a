import { describe, it } from '@acaciadock/core/testing';
import { TEAM_LIMIT, maxConcurrentRuns, runUnderLoad } from '../TeamLoad.js';

const LOWERED_LIMIT = 2;

/** Time until a lowered limit is in effect at every entry and earlier runs have ended. */
const LOWERED_WITHIN_MS = 3_500;

describe('No team runs more across the fleet than its limit', () => {
  it('when it queues at all entries and two homes dispatch its work; the limit is reached', async (t) => {
    const { fleet, runs } = await runUnderLoad(({ clock }) => clock.sleep(1_000));
    t.equal(maxConcurrentRuns(fleet), TEAM_LIMIT);
    t.ok(runs > TEAM_LIMIT);
  });

  it('when the limit is lowered under load', async (t) => {
    let sinceMs = 0;
    const { fleet } = await runUnderLoad(async (running) => {
      const path = `/teams/${running.teamId}/limit`;
      await running.patch([{ op: 'replace', path, value: LOWERED_LIMIT }]);
      sinceMs = running.clock.unixMs() + LOWERED_WITHIN_MS;
      await running.clock.sleep(LOWERED_WITHIN_MS + 1_000);
    });
    t.equal(maxConcurrentRuns(fleet, sinceMs), LOWERED_LIMIT);
  });
});
