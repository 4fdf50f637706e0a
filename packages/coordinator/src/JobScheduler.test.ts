/** Guards against pools without an open target. */
import { describe, it } from '@acaciadock/core/testing';
import { JobsConfigView, jobsConfigSchema } from '@acaciadock/jobs';
import { RuntimeEstimates } from '@acaciadock/placement';
import { DemandMeter } from './DemandMeter.js';
import { HealthMonitor } from './HealthMonitor.js';
import { JobScheduler, type JobSchedulerDeps } from './JobScheduler.js';
import { RunFixture } from './testing/RunFixture.js';
import { TeamUsage } from './TeamUsage.js';

const POOL_ID = 'pool';
const LIMIT_CPU_MILLI = 1_000;

const CONFIG = new JobsConfigView(
  jobsConfigSchema.parse({
    version: 1,
    queues: [{ queueId: 'queue', host: 'h', pathPrefix: '/', poolId: POOL_ID }],
    pools: [{ poolId: POOL_ID }],
    teams: [{ teamId: 'team', limit: { cpuMilli: LIMIT_CPU_MILLI } }],
  }),
);

function createScheduler(fixture: RunFixture): JobScheduler {
  const { clock, jobs, targets, runTracker, logger, meter } = fixture;
  const estimates = new RuntimeEstimates();
  const deps = {
    ...{ clock, jobs, targets, runTracker, logger, estimates, meter },
    usage: new TeamUsage(),
    demand: new DemandMeter(estimates, clock),
    tickets: { ticketFor: () => '' },
    health: new HealthMonitor({ targets, runTracker, estimates, clock, logger }),
    shares: { passOver: () => undefined },
    admission: { refresh: () => undefined },
    ownership: { isActive: true, mayAcceptWork: true },
    config: () => CONFIG,
  } as unknown as JobSchedulerDeps;
  return new JobScheduler(deps);
}

describe('JobScheduler', () => {
  it('never ejects all open targets of a pool', (t) => {
    // Fails if targets that have crashed count towards the pool of which a part may be ejected.
    const fixture = new RunFixture(9);
    const scheduler = createScheduler(fixture);
    const openIds = ['t0', 't1', 't2'];
    openIds.forEach((targetId) => {
      for (let index = 0; index < 3; index += 1) {
        const live = fixture.start(fixture.accept(`${targetId}-${index}`), targetId);
        void fixture.runTracker.finish(live, 'failed', '');
      }
    });
    fixture.all
      .filter(({ targetId }) => !openIds.includes(targetId))
      .forEach((target) => Object.assign(target, { consecutiveFailures: 1 }));
    t.equal(scheduler.openTargets(POOL_ID).length, 2);
  });
});
