/** Sets up targets and runs of one-step jobs without a journal, for tests of single decisions. */
import { ManualClock, SilentLogger, WorkMeter } from '@acaciadock/core';
import { type Job, jobSpecSchema, type stepSpecSchema, type TaskPlace } from '@acaciadock/jobs';
import { RuntimeEstimates } from '@acaciadock/placement';
import { type z } from 'zod';
import { CrashHandler } from '../CrashHandler.js';
import { type FleetTarget } from '../FleetTarget.js';
import { JobTable } from '../JobTable.js';
import { type LiveRun } from '../LiveRun.js';
import { type Ownership } from '../Ownership.js';
import { RunTracker } from '../RunTracker.js';
import { TargetTable } from '../TargetTable.js';
import { TeamUsage } from '../TeamUsage.js';
import { RecordingLogger } from './RecordingLogger.js';
import { withoutEvacuation } from './withoutEvacuation.js';

export const TARGET_CPU_MILLI = 4_000;
const BORN_MS = 1;

export class RunFixture {
  readonly clock = new ManualClock();

  readonly logger = new RecordingLogger();

  readonly meter = new WorkMeter(this.clock);

  readonly targets = new TargetTable({
    maxLeaseMs: 6_000,
    inheritedUntilMs: 0,
    evacuation: withoutEvacuation(this.clock),
  });

  /** The writer accepts every record at once. */
  readonly jobs = new JobTable(
    {
      writer: {
        write: () => Promise.resolve('durable'),
        create: () => Promise.resolve('durable'),
        delete: () => Promise.resolve('durable'),
      },
    } as unknown as Ownership,
    this.clock,
    this.meter,
    new SilentLogger(),
  );

  readonly runTracker = new RunTracker(
    this.jobs,
    this.targets,
    new TeamUsage(),
    new RuntimeEstimates(),
    this.clock,
    this.logger,
  );

  readonly crashes = new CrashHandler(this.runTracker, this.clock, this.logger);

  constructor(targetCount: number) {
    const entries = Array.from({ length: targetCount }, (_, index) => ({
      targetId: `t${index}`,
      poolId: 'pool',
      address: `t${index}:1`,
      zoneId: 'z',
      rackId: 'r',
      labels: [],
      capacity: { cpuMilli: TARGET_CPU_MILLI, memoryMb: 64_000, gpuCount: 0 },
      state: 'ready' as const,
      remainingMs: undefined,
      bornMs: BORN_MS,
    }));
    this.targets.update(entries);
    this.all.forEach((target) => Object.assign(target, { bornMs: BORN_MS, isConfirmed: true }));
  }

  get all(): FleetTarget[] {
    return [...this.targets.all];
  }

  target(targetId: string): FleetTarget {
    return this.targets.ensure(targetId);
  }

  accept(jobId: string, step: Partial<z.input<typeof stepSpecSchema>> = {}): Job {
    const { job } = this.jobs.accept({
      jobId,
      queueId: 'queue',
      poolId: 'pool',
      teamId: 'team',
      priority: 0,
      maxAttempts: 3,
      stretch: 2,
      targetLatencyMs: 500,
      acceptedUnixMs: 0,
      isBeyondShare: false,
      spec: jobSpecSchema.parse({ spec: '', steps: [{ taskCount: 1, cpuMilli: 500, ...step }] }),
    });
    return job;
  }

  /** Starts a task of the job; the target has accepted the start, but no report has listed it. */
  start(job: Job, targetId: string, taskIndex = 0): LiveRun {
    const place = job.find(0, 0, taskIndex) as TaskPlace;
    const live = this.runTracker.plan(place, this.target(targetId));
    this.runTracker.markRunning(live);
    return live;
  }

  /** Lets all runs work for a while and has their targets list them. */
  work(durationMs: number): void {
    this.clock.advance(durationMs);
    const nowMs = this.clock.monotonicMs();
    this.all.forEach((target) => {
      Object.assign(target, { reportedMs: nowMs });
      target.runs.forEach((live) => live.recordReport(10, nowMs));
    });
  }

  /** Ends the target's process; another one answers at its address. */
  crash(targetId: string): void {
    const target = this.target(targetId);
    void this.crashes.endRuns(target, [...target.runs.values()], 'other-lifetime');
  }
}
