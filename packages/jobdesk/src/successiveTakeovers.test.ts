/** Guards against tasks that wait for the leases of owners that have answered for themselves. */
import { describe, it } from '@acaciadock/core/testing';
import { assertRunsInTime } from './testing/killedOwners.js';

describe('a long-running task whose target is lost for good', () => {
  [1, 2, 3].forEach((kills) => {
    it(`runs elsewhere in time after ${kills} owners were killed that start again`, async (t) => {
      // Fails if a successor asks only the owner right before it whether it extends leases.
      await assertRunsInTime(t, kills, true);
    });
  });
});
