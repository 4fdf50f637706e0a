/** Guards against an owner that asks targets the more often the busier it is. */
import { describe, it } from '@acaciadock/core/testing';
import { type JobWorldOptions } from './testing/JobWorld.js';
import { play, total } from './testing/overloadPlay.js';

const JOBS_PER_S = { team: 32 };
const WEIGHTS = { team: 1 };
const TARGETS = 48;

/** Tasks of all jobs of a play. */
const TASKS_PER_JOB = 8;

async function playAt(ownerBusyShare: number) {
  const options: Partial<JobWorldOptions> = { targetCount: TARGETS, ownerBusyShare };
  const { world, play: played } = await play(JOBS_PER_S, WEIGHTS, options);
  const reports = [...world.entries.values()].reduce((sum, { port }) => sum + port.holdCount, 0);
  const jobs = total(played.sent);
  return { world, inTime: total(played.inTime) / jobs, reports: reports / (jobs * TASKS_PER_JOB) };
}

describe('an owner with hardly any processor time left', () => {
  it('requests fewer reports than at ease, and still finds the ends in time', async (t) => {
    const idle = await playAt(0);
    const busy = await playAt(0.95);
    t.ok(busy.reports < idle.reports, `${busy.reports} of ${idle.reports} reports a task`);
    t.ok(busy.inTime >= idle.inTime - 0.05, `${busy.inTime} and ${idle.inTime} in time`);
    t.same(busy.world.observer.broken, [], 'no guarantee violated');
  });
});
