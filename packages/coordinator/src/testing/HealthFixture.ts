/**
 * Sets up a health monitor with targets that are kept full of tasks and report their progress. Every
 * task belongs to a job of its own. Time advances in the steps of the coordinator's checks.
 */
import { ManualClock, Random, SilentLogger, WorkMeter } from '@acaciadock/core';
import { type EndedRun } from '@acaciadock/execution';
import { Job, jobSpecSchema, type RunEnd } from '@acaciadock/jobs';
import { RuntimeEstimates } from '@acaciadock/placement';
import { CrashHandler } from '../CrashHandler.js';
import { type FleetTarget } from '../FleetTarget.js';
import { HealthMonitor, type HealthMonitorDeps } from '../HealthMonitor.js';
import { JobTable } from '../JobTable.js';
import { type LiveRun } from '../LiveRun.js';
import { type Ownership } from '../Ownership.js';
import { ReportProcessor } from '../ReportProcessor.js';
import { RunTracker } from '../RunTracker.js';
import { TargetTable } from '../TargetTable.js';
import { TeamUsage } from '../TeamUsage.js';
import { withoutEvacuation } from './withoutEvacuation.js';

const CHECK_MS = 50;
const REPORT_MS = 200;
const RUNTIME_MS = 540;
const TAIL_FACTOR = 7;
const UNEVENNESS = 0.3;

export interface HealthFixtureOptions {
  readonly seed: number;
  readonly targetCount: number;
  /** Tasks that run on a target at once. */
  readonly slots: number;
  /** Share of the tasks that inherently take `TAIL_FACTOR` times as long. */
  readonly tailShare: number;
  /** Called for each straggler, if defined. */
  readonly handleStraggler?: HealthMonitorDeps['handleStraggler'];
}

/** How a target treats its tasks: their slowdown (infinite if they stall), or that they fail. */
interface Fault {
  readonly slowdown: number;
  readonly isFailing: boolean;
}

interface Work {
  readonly totalMs: number;
  doneMs: number;
}

export class HealthFixture {
  readonly clock = new ManualClock();

  readonly monitor: HealthMonitor;

  /** Runs that the monitor stopped, with the time. */
  readonly givenUp: { readonly live: LiveRun; readonly atMs: number }[] = [];

  readonly estimates = new RuntimeEstimates();

  readonly targets = new TargetTable({
    maxLeaseMs: 6_000,
    inheritedUntilMs: 0,
    evacuation: withoutEvacuation(this.clock),
  });

  private readonly faults = new Map<string, Fault>();

  private readonly work = new Map<LiveRun, Work>();

  private readonly runTracker: RunTracker;

  private readonly reports: ReportProcessor;

  private readonly random: Random;

  private jobCount = 0;

  private sequence = 0;

  constructor(private readonly options: HealthFixtureOptions) {
    const { clock, targets, estimates } = this;
    const logger = new SilentLogger();
    // No job is in the table, so nothing is journaled.
    const jobs = new JobTable({} as Ownership, clock, new WorkMeter(clock), logger);
    this.random = new Random(options.seed);
    this.runTracker = new RunTracker(jobs, targets, new TeamUsage(), estimates, clock, logger);
    const crashes = new CrashHandler(this.runTracker, clock, logger);
    this.reports = new ReportProcessor(this.runTracker, crashes, clock, logger);
    const { runTracker } = this;
    const { handleStraggler } = options;
    this.monitor = new HealthMonitor({
      ...{ targets, runTracker, estimates, clock, logger },
      ...(handleStraggler ? { handleStraggler } : {}),
    });
    runTracker.onStopWanted((live) => this.givenUp.push({ live, atMs: clock.monotonicMs() }));
    for (let index = 0; index < options.targetCount; index += 1) targets.ensure(`t${index}`);
  }

  get all(): FleetTarget[] {
    return [...this.targets.all];
  }

  isEjected(targetId: string): boolean {
    return !this.monitor.usable(this.all).some((target) => target.targetId === targetId);
  }

  setFault(targetId: string, fault: Partial<Fault>): void {
    this.faults.set(targetId, { slowdown: 1, isFailing: false, ...fault });
  }

  run(durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += CHECK_MS) {
      this.clock.advance(CHECK_MS);
      this.all.forEach((target, index) => this.advance(target, index));
      this.monitor.check();
    }
  }

  /** Milliseconds until the condition holds; infinite if it does not within `maxMs`. */
  timeUntil(condition: () => boolean, maxMs: number): number {
    for (let elapsedMs = 0; elapsedMs <= maxMs; elapsedMs += CHECK_MS) {
      if (condition()) return elapsedMs;
      this.run(CHECK_MS);
    }
    return Infinity;
  }

  private advance(target: FleetTarget, index: number): void {
    const fault = this.faults.get(target.targetId) ?? { slowdown: 1, isFailing: false };
    const ended: EndedRun[] = [];
    target.runs.forEach((live) => {
      const work = this.work.get(live) as Work;
      work.doneMs += CHECK_MS / fault.slowdown;
      if (live.phase === 'stopping') ended.push(this.endOf(live, 'stopped'));
      else if (fault.isFailing) ended.push(this.endOf(live, 'failed'));
      else if (work.doneMs >= work.totalMs) ended.push(this.endOf(live, 'done'));
    });
    const nowMs = this.clock.monotonicMs();
    const isReportDue = (nowMs / CHECK_MS + index) % (REPORT_MS / CHECK_MS) === 0;
    if (ended.length > 0 || isReportDue) this.report(target, ended);
    if (this.isEjected(target.targetId)) return;
    while (target.runs.size < this.options.slots) this.start(target);
  }

  private report(target: FleetTarget, ended: EndedRun[]): void {
    const endedIds = new Set(ended.map(({ taskId }) => taskId));
    const running = [...target.runs.values()]
      .filter(({ taskId }) => !endedIds.has(taskId))
      .map((live) => {
        const { doneMs, totalMs } = this.work.get(live) as Work;
        const percent = Math.floor((doneMs / totalMs) * 100);
        return { taskId: live.taskId, run: live.run, checkpoint: '', percent, loadFigure: 0 };
      });
    const nowMs = this.clock.monotonicMs();
    this.reports.process(target, { clockMs: nowMs, bornMs: 1, running, ended }, nowMs);
  }

  private endOf(live: LiveRun, end: Extract<RunEnd, 'done' | 'failed' | 'stopped'>): EndedRun {
    this.sequence += 1;
    return { sequence: this.sequence, taskId: live.taskId, run: live.run, end, checkpoint: '' };
  }

  private start(target: FleetTarget): void {
    this.jobCount += 1;
    const job = new Job({
      jobId: `j${this.jobCount}`,
      queueId: 'queue',
      poolId: 'pool',
      teamId: 'team',
      priority: 0,
      maxAttempts: 3,
      stretch: 2,
      targetLatencyMs: 500,
      acceptedUnixMs: 0,
      isBeyondShare: false,
      spec: jobSpecSchema.parse({ spec: '', steps: [{ taskCount: 1 }] }),
    });
    const place = job.find(0, 0, 0);
    if (!place) return;
    const live = this.runTracker.plan(place, target);
    this.runTracker.markRunning(live);
    this.work.set(live, { totalMs: this.drawRuntimeMs(), doneMs: 0 });
  }

  private drawRuntimeMs(): number {
    const { random, options } = this;
    const uniforms = Array.from({ length: 12 }, () => random.next());
    const normal = uniforms.reduce((sum, value) => sum + value, 0) - 6;
    const factor = random.chance(options.tailShare) ? TAIL_FACTOR : 1;
    return RUNTIME_MS * factor * Math.exp(UNEVENNESS * normal);
  }
}
