/** Tests the objective and the remaining time of a job whose tasks differ from those of its queue. */
import { ManualClock, SilentLogger, WorkMeter } from '@acaciadock/core';
import { type CommitOutcome } from '@acaciadock/journal';
import { describe, it } from '@acaciadock/core/testing';
import { jobsConfigSchema, JobsConfigView, jobSpecSchema, type TaskPlace } from '@acaciadock/jobs';
import { RuntimeEstimates } from '@acaciadock/placement';
import { JobTable } from './JobTable.js';
import { type LiveRun } from './LiveRun.js';
import { type Ownership } from './Ownership.js';
import { type QueuedStep } from './QueuedStep.js';
import { QueuedStepCollector } from './QueuedStepCollector.js';
import { RunTracker } from './RunTracker.js';
import { TargetTable } from './TargetTable.js';
import { withoutEvacuation } from './testing/withoutEvacuation.js';
import { TeamUsage } from './TeamUsage.js';

const MEAN_MS = 500;

class CollectorFixture {
  readonly clock = new ManualClock();

  private readonly targets = new TargetTable({
    maxLeaseMs: 6_000,
    inheritedUntilMs: 0,
    evacuation: withoutEvacuation(this.clock),
  });

  private readonly estimates = new RuntimeEstimates();

  private readonly collector: QueuedStepCollector;

  private readonly jobs: JobTable;

  private readonly runTracker: RunTracker;

  constructor() {
    const { clock, targets, estimates } = this;
    const accept = (): Promise<CommitOutcome> => Promise.resolve('durable');
    const writer = { write: accept, create: accept };
    const ownership = { writer } as unknown as Ownership;
    this.jobs = new JobTable(ownership, clock, new WorkMeter(clock), new SilentLogger());
    const view = new JobsConfigView(
      jobsConfigSchema.parse({ version: 1, queues: [], pools: [], teams: [] }),
    );
    this.collector = new QueuedStepCollector({
      ...{ jobs: this.jobs, targets, estimates, clock },
      config: () => view,
    });
    const usage = new TeamUsage();
    this.runTracker = new RunTracker(
      this.jobs,
      targets,
      usage,
      estimates,
      clock,
      new SilentLogger(),
    );
    for (let run = 0; run < 300; run += 1) estimates.record('queue', MEAN_MS);
    const steps = [{ taskCount: 3 }, { taskCount: 1, afterSteps: [0] }];
    this.jobs.accept({
      jobId: 'j',
      queueId: 'queue',
      poolId: 'pool',
      teamId: 'team',
      priority: 0,
      maxAttempts: 3,
      stretch: 2,
      targetLatencyMs: 100,
      acceptedUnixMs: 0,
      isBeyondShare: false,
      spec: jobSpecSchema.parse({ spec: '', steps }),
    });
  }

  /** Mean of the queue, which the ends of tasks move. */
  get meanMs(): number {
    return this.estimates.meanMs('queue', 0);
  }

  start(task: number): LiveRun {
    const place = this.jobs.get('j')?.job.find(0, 0, task) as TaskPlace;
    const live = this.runTracker.plan(place, this.targets.ensure(`t${task}`));
    this.runTracker.markRunning(live);
    return live;
  }

  end(live: LiveRun): void {
    void this.runTracker.finish(live, 'done', '');
  }

  /** The first step with waiting tasks, after the cached one has expired. */
  collect(): QueuedStep {
    this.clock.advance(300);
    return this.collector.collect(new Set(['pool'])).get('pool')?.[0] as QueuedStep;
  }
}

describe('QueuedStepCollector', () => {
  it('uses the mean of the queue before any task has started', (t) => {
    const step = new CollectorFixture().collect();
    t.equal(step.objectiveMs, 2 * 2 * MEAN_MS + 100);
    t.equal(step.remainingMs, 2 * MEAN_MS);
  });

  it('uses the longest expected total of running and ended tasks', (t) => {
    // Fails if the mean is used for every step: the job would count as late or worthless too early.
    const fixture = new CollectorFixture();
    fixture.clock.advance(100);
    const [long, short] = [fixture.start(0), fixture.start(1)];
    fixture.clock.advance(300);
    long.recordReport(10, fixture.clock.monotonicMs());
    fixture.end(short);
    t.equal(fixture.collect().objectiveMs, 2 * (3_000 + fixture.meanMs) + 100);
    t.equal(fixture.collect().remainingMs, 3_000 + fixture.meanMs);
    fixture.clock.advance(2_500);
    const totalMs = fixture.clock.monotonicMs() - 100;
    fixture.end(long);
    t.equal(fixture.collect().objectiveMs, 2 * (totalMs + fixture.meanMs) + 100);
  });
});
