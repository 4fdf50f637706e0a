/** Guards against tasks that wait for the leases of owners whose machines do not come back. */
import { describe, it } from '@acaciadock/core/testing';
import { assertRunsInTime } from './testing/killedOwners.js';

describe('a long-running task whose target is lost for good', () => {
  [1, 2, 3].forEach((kills) => {
    it(`runs elsewhere in time after ${kills} owners were killed that stay away`, async (t) => {
      // Fails if only an answer of a later process proves the end of an owner.
      await assertRunsInTime(t, kills, false);
    });
  });
});
