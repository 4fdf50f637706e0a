/** Random schedules of racks that go dark right after starts; a failure prints its seed. */
import { describe, it } from '@acaciadock/core/testing';
import { playDarkRacks } from './testing/darkRacks.js';

const FIRST_SEED = 20_261_205;
const SEED_COUNT = 8;

describe('racks that go dark', () => {
  it(`leave no task waiting and no account open (${SEED_COUNT} seeds)`, async (t) => {
    // Fails if a task that was on a dark rack is forgotten over changes of the owner.
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed += 1) {
      t.same(await playDarkRacks(seed), [], `seed ${seed}`);
    }
  });
});
