/**
 * Monitors the progress of runs on each target. Runs that stall or are too slow are stopped, so
 * that they restart on another target, and targets with repeated failures are ejected.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import { type RuntimeEstimates, StragglerDetector, TargetHealth } from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type RunTracker, type RunEnded } from './RunTracker.js';
import { type TargetTable } from './TargetTable.js';

/** Completed runs of a queue needed before progress is compared with its mean runtime. */
const TRUSTED_RUNS = 8;

export interface HealthMonitorDeps {
  readonly targets: TargetTable;
  readonly runTracker: RunTracker;
  readonly estimates: RuntimeEstimates;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when a run is about to be abandoned; if it returns `copied`, the run is not stopped. */
  readonly handleStraggler?: (live: LiveRun, verdict: 'stalled' | 'slow') => 'copied' | 'restart';
}

export class HealthMonitor extends Disposable {
  private readonly health = new TargetHealth();

  constructor(private readonly deps: HealthMonitorDeps) {
    super();
    this.register(deps.runTracker.onEnded((ended) => this.onEnded(ended)));
  }

  /** Filters out the targets of a pool that are ejected. */
  usable(targets: readonly FleetTarget[]): FleetTarget[] {
    return this.health.usable(targets, this.deps.clock.monotonicMs());
  }

  /** Stops stalled and slow runs on all targets that answer. */
  check(): void {
    for (const target of this.deps.targets.all) {
      if (target.consecutiveFailures === 0) target.runs.forEach((live) => this.evaluate(live));
    }
  }

  private evaluate(live: LiveRun): void {
    const { job, step } = live.place;
    if (live.phase !== 'running' || step.spec.longRunning || step.spec.gang) return;
    const { clock, estimates, runTracker, logger } = this.deps;
    const nowMs = clock.monotonicMs();
    const { queueId } = job.definition;
    const isTrusted = estimates.isTrusted(queueId, TRUSTED_RUNS);
    const verdict = StragglerDetector.classify({
      elapsedMs: live.reportedMs - live.startedMs,
      sinceProgressMs: nowMs - live.progressedMs,
      sinceReportMs: nowMs - live.reportedMs,
      percent: live.percent,
      expectedMs: isTrusted ? estimates.meanMs(queueId, 0) : Infinity,
    });
    if (verdict === 'sound') return;
    if (this.deps.handleStraggler?.(live, verdict) === 'copied') {
      this.noteCopied(live);
      return;
    }
    logger.info('run-given-up', {
      jobId: job.jobId,
      taskId: live.taskId,
      run: live.run,
      targetId: live.targetId,
      verdict,
      percent: live.percent,
      elapsedMs: Math.round(nowMs - live.startedMs),
      reportAgeMs: Math.round(nowMs - live.reportedMs),
    });
    live.place.task.recordAvoidedTarget(live.targetId);
    this.note(live.targetId, job.jobId, 'bad');
    runTracker.stop(live);
  }

  /** Counts a copied straggler once against its target, like one that is stopped. */
  private noteCopied({ place, targetId }: LiveRun): void {
    if (place.task.avoidTargetId === targetId) return;
    place.task.recordAvoidedTarget(targetId);
    this.note(targetId, place.job.jobId, 'bad');
  }

  private onEnded({ run, end }: RunEnded): void {
    const { jobId } = run.place.job;
    if (end === 'done') this.note(run.targetId, jobId, 'good');
    if (end === 'failed') this.note(run.targetId, jobId, 'bad');
  }

  /** Records the result of a run and logs whether it ejects the target. */
  private note(targetId: string, jobId: string, verdict: 'good' | 'bad'): void {
    const nowMs = this.deps.clock.monotonicMs();
    if (!this.health.note(targetId, jobId, verdict, nowMs)) return;
    this.deps.logger.warn('target-ejected', { targetId, jobId });
  }
}
