/** Random schedules of faults against the promises of jobs; every seed is printed on failure. */
import { Random } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { runSchedule } from './testing/runSchedule.js';

const FIRST_SEED = 20_261_204;
const SCHEDULES = 60;

describe('random schedules', () => {
  it(`keep the promises (${SCHEDULES} seeds from ${FIRST_SEED})`, async (t) => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed += 1) {
      const found = await runSchedule(new Random(seed), seed);
      if (found.length > 0) t.fail(`seed ${seed}: ${found.join('; ')}`);
    }
    t.pass('all schedules played');
  });
});
