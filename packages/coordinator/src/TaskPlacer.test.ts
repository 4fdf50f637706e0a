/** Guards against suspects that wait for a target on which they may never start. */
import { describe, it } from '@acaciadock/core/testing';
import { JobsConfigView, jobsConfigSchema } from '@acaciadock/jobs';
import { RejectedSizes, RuntimeEstimates } from '@acaciadock/placement';
import { DemandMeter } from './DemandMeter.js';
import { type FleetTarget } from './FleetTarget.js';
import { type QueuedStep } from './QueuedStep.js';
import { SuspectIsolation } from './SuspectIsolation.js';
import { TaskPlacer } from './TaskPlacer.js';
import { RunFixture } from './testing/RunFixture.js';
import { TeamUsage } from './TeamUsage.js';
import { type TicketCache } from './TicketCache.js';

function configWithAdvice(): JobsConfigView {
  return new JobsConfigView(
    jobsConfigSchema.parse({
      version: 1,
      queues: [
        {
          queueId: 'queue',
          host: 'h',
          pathPrefix: '/',
          poolId: 'pool',
          advice: { decisionMs: 1, intervalMs: 1, validityMs: 1_000 },
        },
      ],
      pools: [{ poolId: 'pool' }],
      teams: [{ teamId: 'team' }],
    }),
  );
}

describe('TaskPlacer', () => {
  it('starts a suspect on a target that the advice rule permits', (t) => {
    const fixture = new RunFixture(3);
    const { jobs, runTracker, clock, logger } = fixture;
    const config = configWithAdvice();
    const tickets = {
      allowed: (_: string, targets: readonly FleetTarget[]) =>
        targets.filter(({ targetId }) => targetId === 't2'),
      request: () => undefined,
      ticketFor: () => 'ticket',
    } as unknown as TicketCache;
    const placer = new TaskPlacer({
      ...{ runTracker, clock, logger, tickets },
      usage: new TeamUsage(),
      demand: new DemandMeter(new RuntimeEstimates(), clock),
      isolation: new SuspectIsolation(clock),
      config: () => config,
    });
    const job = fixture.accept('a');
    const occurrence = job.occurrences.get(0)!;
    const step = occurrence.steps[0]!;
    step.tasks[0]!.markSuspected();
    const open = { entry: jobs.get('a'), occurrence, step } as unknown as QueuedStep;
    for (let pass = 0; pass < 2; pass += 1)
      placer.placeStep(open, fixture.all, new RejectedSizes());
    t.match(step.tasks[0]?.runs, [{ targetId: 't2', isAlone: true }]);
  });
});
