import { describe, it } from '@acaciadock/core/testing';
import { LIMIT, mostRunning, underLoad } from '../TeamLoad.js';

const LOWERED = 2;

/** A limit lowered is in force everywhere, and what ran before has ended, after this. */
const LOWERED_WITHIN_MS = 3_500;

describe('No team has more running across the fleet than its limit', () => {
  it('while it queues at all entries for two homes, and it reaches its limit', async (t) => {
    const { fleet, runs } = await underLoad(({ clock }) => clock.sleep(1_000));
    t.equal(mostRunning(fleet), LIMIT);
    t.ok(runs > LIMIT);
  });

  it('when the limit is lowered under load', async (t) => {
    let sinceMs = 0;
    const { fleet } = await underLoad(async (running) => {
      const path = `/teams/${running.teamId}/limit`;
      await running.patch([{ op: 'replace', path, value: LOWERED }]);
      sinceMs = running.clock.unixMs() + LOWERED_WITHIN_MS;
      await running.clock.sleep(LOWERED_WITHIN_MS + 1_000);
    });
    t.equal(mostRunning(fleet, sinceMs), LOWERED);
  });
});
