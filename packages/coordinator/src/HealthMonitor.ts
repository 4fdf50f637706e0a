/**
 * Monitors the progress of runs on each target. Runs that stall or are too slow are stopped, so
 * that they restart on another target, and targets with repeated failures are ejected.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import {
  type RuntimeEstimates,
  StragglerDetector,
  type StragglerVerdict,
  TargetHealth,
  TargetSpeed,
} from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type RunTracker, type RunEnded } from './RunTracker.js';
import { SpeedTracker, TRUSTED_RUNS } from './SpeedTracker.js';
import { type TargetTable } from './TargetTable.js';

/** A target reports a few times a second, so it is weighed at every fifth check, in turn. */
const CHECKS_PER_WEIGHING = 5;

/** What was done about a straggler: another run of the task was started, or nothing yet. */
export type StragglerAction = 'copied' | 'restart';

export interface HealthMonitorDeps {
  readonly targets: TargetTable;
  readonly runTracker: RunTracker;
  readonly estimates: RuntimeEstimates;
  readonly clock: Clock;
  readonly logger: Logger;
  /** May start another run of the task instead; called again while the verdict holds. */
  readonly handleStraggler?: (
    live: LiveRun,
    verdict: Exclude<StragglerVerdict, 'sound'>,
  ) => StragglerAction;
}

export class HealthMonitor extends Disposable {
  private readonly health = new TargetHealth();

  private readonly speed: SpeedTracker;

  private checkCount = 0;

  /** Runs of which a copy runs and which have counted against their target. */
  private readonly copied = new WeakSet<LiveRun>();

  constructor(private readonly deps: HealthMonitorDeps) {
    super();
    this.speed = this.register(new SpeedTracker(deps));
    this.register(deps.runTracker.onEnded((ended) => this.onEnded(ended)));
  }

  /** Filters out the targets of a pool that are ejected. */
  usable(targets: readonly FleetTarget[]): FleetTarget[] {
    return this.health.usable(targets, this.deps.clock.monotonicMs());
  }

  /** Stops stalled and slow runs on all targets that answer, and weighs the targets. */
  check(): void {
    this.speed.update();
    this.checkCount += 1;
    let index = this.checkCount;
    for (const target of this.deps.targets.all) {
      index += 1;
      if (target.consecutiveFailures === 0) target.runs.forEach((live) => this.evaluate(live));
      if (index % CHECKS_PER_WEIGHING === 0) this.weigh(target);
    }
  }

  /** Gives a slow target fewer tasks, before its stragglers eject it. */
  private weigh(target: FleetTarget): void {
    const slowdown = this.speed.slowdownOf(target);
    const weight = TargetSpeed.weight(slowdown);
    const { targetId, weight: previousWeight } = target;
    Object.assign(target, { weight });
    if (previousWeight === 1 && weight < 1) {
      this.deps.logger.info('target-slow', {
        targetId,
        targetSlowdown: HealthMonitor.rounded(slowdown),
      });
    }
    if (previousWeight < 1 && weight === 1) this.deps.logger.info('target-not-slow', { targetId });
  }

  private evaluate(live: LiveRun): void {
    const { step } = live.place;
    if (live.phase !== 'running' || step.spec.longRunning || step.spec.gang) return;
    const verdict = this.classify(live);
    if (verdict === 'sound') return;
    // A pace is compared once per report; the comparison goes over all runs of the target.
    if (verdict === 'slow' && live.comparedReportMs === live.reportedMs) return;
    Object.assign(live, { comparedReportMs: live.reportedMs });
    const targetSlowdown = this.speed.slowdownAround(live);
    if (verdict === 'slow' && !this.shouldRestart(live, targetSlowdown)) return;
    if (this.deps.handleStraggler?.(live, verdict) === 'copied') {
      this.noteCopied(live);
      return;
    }
    this.giveUp(live, verdict, targetSlowdown);
  }

  private classify(live: LiveRun): StragglerVerdict {
    const { clock, estimates } = this.deps;
    const nowMs = clock.monotonicMs();
    const { queueId } = live.place.job.definition;
    const isTrusted = estimates.isTrusted(queueId, TRUSTED_RUNS);
    return StragglerDetector.classify({
      elapsedMs: live.reportedMs - live.startedMs,
      sinceProgressMs: nowMs - live.progressedMs,
      sinceReportMs: nowMs - live.reportedMs,
      percent: live.percent,
      expectedMs: isTrusted ? estimates.meanMs(queueId, 0) : Infinity,
    });
  }

  private shouldRestart(live: LiveRun, targetSlowdown: number | undefined): boolean {
    const { percent, checkpointPercent, place } = live;
    const tail = this.deps.estimates.tailKind(place.job.definition.queueId);
    return StragglerDetector.shouldRestart({ targetSlowdown, tail, percent, checkpointPercent });
  }

  private giveUp(
    live: LiveRun,
    verdict: StragglerVerdict,
    targetSlowdown: number | undefined,
  ): void {
    const { clock, estimates, runTracker, logger } = this.deps;
    const nowMs = clock.monotonicMs();
    const { job, task } = live.place;
    logger.info('run-given-up', {
      jobId: job.jobId,
      taskId: live.taskId,
      run: live.run,
      targetId: live.targetId,
      verdict,
      percent: live.percent,
      elapsedMs: Math.round(nowMs - live.startedMs),
      reportAgeMs: Math.round(nowMs - live.reportedMs),
      targetSlowdown: HealthMonitor.rounded(targetSlowdown),
      longRunShare: estimates.longShare(job.definition.queueId),
    });
    task.recordAvoidedTarget(live.targetId);
    if (!this.copied.has(live)) this.note(live.targetId, job.jobId, 'bad');
    runTracker.stop(live);
  }

  /** Counts a copied straggler once against its target, like one that is stopped. */
  private noteCopied(live: LiveRun): void {
    if (this.copied.has(live)) return;
    this.copied.add(live);
    live.place.task.recordAvoidedTarget(live.targetId);
    this.note(live.targetId, live.place.job.jobId, 'bad');
  }

  private onEnded({ run, end }: RunEnded): void {
    const { jobId } = run.place.job;
    // A task that is done late on a slow target is no proof that the target is sound.
    const isSlow = TargetSpeed.isSlow(this.speed.slowdownAround(run));
    if (end === 'done' && !isSlow) this.note(run.targetId, jobId, 'good');
    if (end === 'failed') this.note(run.targetId, jobId, 'bad');
  }

  /** Records the result of a run and logs whether it ejects the target. */
  private note(targetId: string, jobId: string, verdict: 'good' | 'bad'): void {
    const nowMs = this.deps.clock.monotonicMs();
    if (!this.health.note(targetId, jobId, verdict, nowMs)) return;
    this.deps.logger.warn('target-ejected', { targetId, jobId });
  }

  private static rounded(ratio: number | undefined): number | undefined {
    return ratio === undefined ? undefined : Math.round(ratio * 100) / 100;
  }
}
