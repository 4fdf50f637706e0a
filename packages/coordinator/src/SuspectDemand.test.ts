/**
 * Guards against instances that are needed for suspects that wait for something else than room.
 */
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

function createScheduler(fixture: RunFixture): { scheduler: JobScheduler; deps: JobSchedulerDeps } {
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
  return { scheduler: new JobScheduler(deps), deps };
}

describe('JobScheduler, with suspects', () => {
  it('needs no instances for suspects whose team is at its limit', (t) => {
    // Fails if the suspects that wait are counted without regard to what they wait for.
    const fixture = new RunFixture(3);
    const { scheduler, deps } = createScheduler(fixture);
    for (let index = 0; index < 20; index += 1) {
      const job = fixture.accept(`j${index}`);
      job.occurrences.get(0)!.steps[0]!.tasks[0]!.markSuspected();
    }
    const { spec } = fixture.jobs.get('j0')!.job.occurrences.get(0)!.steps[0]!;
    deps.usage.add('team', { ...spec, cpuMilli: LIMIT_CPU_MILLI });
    for (let pass = 0; pass < 3; pass += 1) {
      scheduler.requestPass(POOL_ID);
      scheduler.flush();
      fixture.clock.advance(100);
    }
    t.equal(deps.demand.targetsForSuspects(POOL_ID), 0);
    t.notOk(deps.demand.hasWaitingWork(POOL_ID), 'nothing waits for room');
  });
});
