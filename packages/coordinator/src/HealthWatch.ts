/**
 * Watches how runs fare on each target: gives up those that stall or crawl, so that they start
 * again elsewhere, and tells which targets to leave alone.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import { type RuntimeEstimates, StragglerRule, TargetHealth } from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type RunBook, type RunEnded } from './RunBook.js';
import { type TargetTable } from './TargetTable.js';

/** Runs of a queue that must have ended before its pace is compared. */
const TRUSTED_RUNS = 8;

export interface HealthWatchDeps {
  readonly targets: TargetTable;
  readonly book: RunBook;
  readonly estimates: RuntimeEstimates;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class HealthWatch extends Disposable {
  private readonly health = new TargetHealth();

  constructor(private readonly deps: HealthWatchDeps) {
    super();
    this.register(deps.book.onEnded((ended) => this.onEnded(ended)));
  }

  /** Those of a pool's targets that are not ejected. */
  usable(targets: readonly FleetTarget[]): FleetTarget[] {
    return this.health.usable(targets, this.deps.clock.monotonicMs());
  }

  /** Gives up runs that stand still or crawl. */
  look(): void {
    for (const target of this.deps.targets.all) {
      if (target.failedHolds === 0) target.runs.forEach((live) => this.judge(live));
    }
  }

  private judge(live: LiveRun): void {
    const { job, step } = live.place;
    if (live.phase !== 'running' || step.spec.longRunning || step.spec.gang) return;
    const { clock, estimates, book, logger } = this.deps;
    const nowMs = clock.monotonicMs();
    const { queueId } = job.definition;
    const isTrusted = estimates.isTrusted(queueId, TRUSTED_RUNS);
    const verdict = StragglerRule.judge({
      elapsedMs: live.reportedMs - live.startedMs,
      sinceProgressMs: nowMs - live.progressedMs,
      sinceReportMs: nowMs - live.reportedMs,
      percent: live.percent,
      expectedMs: isTrusted ? estimates.meanMs(queueId, 0) : Infinity,
    });
    if (verdict === 'sound') return;
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
    live.place.task.noteAvoided(live.targetId);
    this.note(live.targetId, job.jobId, 'bad');
    book.stop(live);
  }

  private onEnded({ run, end }: RunEnded): void {
    const { jobId } = run.place.job;
    if (end === 'done') this.note(run.targetId, jobId, 'good');
    if (end === 'failed') this.note(run.targetId, jobId, 'bad');
  }

  private note(targetId: string, jobId: string, verdict: 'good' | 'bad'): void {
    const nowMs = this.deps.clock.monotonicMs();
    if (!this.health.note(targetId, jobId, verdict, nowMs)) return;
    this.deps.logger.warn('target-ejected', { targetId, jobId });
  }
}
