/** Guards against suspects that wait for a busy target because the advice rule permits no other yet. */
import { describe, it } from '@acaciadock/core/testing';
import { JobsConfigView, jobsConfigSchema } from '@acaciadock/jobs';
import { RejectedSizes, RuntimeEstimates } from '@acaciadock/placement';
import { DemandMeter } from './DemandMeter.js';
import { type FleetTarget } from './FleetTarget.js';
import { type QueuedStep } from './QueuedStep.js';
import { SuspectIsolation } from './SuspectIsolation.js';
import { TaskPlacer } from './TaskPlacer.js';
import { RunFixture, TARGET_CPU_MILLI } from './testing/RunFixture.js';
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

describe('TaskPlacer, with an advice rule', () => {
  it('asks for advice about other targets if those permitted have no room for a suspect', (t) => {
    const fixture = new RunFixture(3);
    const { jobs, runTracker, clock, logger } = fixture;
    const config = configWithAdvice();
    let requests = 0;
    const tickets = {
      allowed: (_: string, targets: readonly FleetTarget[]) =>
        targets.filter(({ targetId }) => targetId === 't2'),
      request: () => {
        requests += 1;
      },
      ticketFor: () => 'ticket',
    } as unknown as TicketCache;
    const placer = new TaskPlacer({
      ...{ runTracker, clock, logger, tickets },
      usage: new TeamUsage(),
      demand: new DemandMeter(new RuntimeEstimates(), clock),
      isolation: new SuspectIsolation(clock),
      config: () => config,
    });
    fixture.start(fixture.accept('other', { cpuMilli: TARGET_CPU_MILLI }), 't2');
    fixture.work(1_000);
    const job = fixture.accept('a');
    const occurrence = job.occurrences.get(0)!;
    const step = occurrence.steps[0]!;
    step.tasks[0]!.markSuspected();
    const open = { entry: jobs.get('a'), occurrence, step } as unknown as QueuedStep;
    for (let pass = 0; pass < 2; pass += 1)
      placer.placeStep(open, fixture.all, new RejectedSizes());
    t.ok(requests > 0, 'as for any other task');
  });
});
