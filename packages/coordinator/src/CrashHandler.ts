/**
 * Ends the runs of a target whose process has ended without notice. The proof is a later process in
 * its place, or that its instance is listed as down, see `CrashEvidence`; silence alone proves
 * nothing. A task that causes such crashes is given up, which fails its job.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { type CommitOutcome } from '@acaciadock/journal';
import { CrashPolicy } from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { RecentCrashes } from './RecentCrashes.js';
import { type RunTracker } from './RunTracker.js';

/**
 * How the end of the process is known: another one answered at its address, its successor reported
 * under its id, another target is listed on its instance, or that is listed as down.
 */
export type CrashEvidence = 'other-lifetime' | 'reborn' | 'replaced' | 'listed-down';

/**
 * The clocks of an entry and a target differ by less than this, in milliseconds. Where they differ by
 * more, a task is still given up after its fifth crash.
 */
const CLOCK_DIFFERENCE_MS = 500;

export class CrashHandler {
  constructor(
    private readonly runTracker: RunTracker,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly recent = new RecentCrashes(clock),
  ) {}

  /** Ends the runs, which were meant for a process of the target that has ended. */
  endRuns(
    target: FleetTarget,
    runs: readonly LiveRun[],
    evidence: CrashEvidence,
  ): Promise<CommitOutcome>[] {
    const hasLeft = target.isDraining || target.isReserved;
    if (!hasLeft && runs.length > 0) this.recent.record(target);
    const crashed = hasLeft ? [] : runs.filter(({ phase }) => phase !== 'planned');
    if (crashed.length > 0) {
      this.logCrash(target, crashed, evidence);
      this.recordCrash(target, crashed);
    }
    return runs.map((live) =>
      this.runTracker.finish(live, crashed.includes(live) ? 'crashed' : 'lost', ''),
    );
  }

  /** Records the crash with each task, and gives up the one that has caused it. */
  private recordCrash(target: FleetTarget, crashed: readonly LiveRun[]): void {
    const suspects = crashed.filter(
      (live) => live.isEarly && !CrashHandler.hasCrashedBefore(target, live),
    );
    const suspectJobs = CrashHandler.jobsOf(suspects);
    // A new owner has not seen which of the runs had settled. Runs of two jobs that were each alone
    // contradict each other then: one of them had settled before the other was placed.
    const aloneJobs = CrashHandler.jobsOf(suspects.filter(({ isAlone }) => isAlone));
    crashed.forEach((live) => {
      const { isAlone, isConfirmed } = live;
      const isEarly = suspects.includes(live);
      const { task } = live.place;
      // A suspect that had only just started alone is the likely cause, not what had settled before it.
      const isExcused = aloneJobs.size === 1 && !isEarly;
      const isCounted = (isConfirmed || isAlone) && !isExcused;
      task.recordCrash({ isEarly, isCounted });
      task.recordAvoidedTarget(live.targetId);
      const isOnlyAlone = isAlone && aloneJobs.size === 1;
      const isOnlySuspect = isEarly && isCounted && (isOnlyAlone || suspectJobs.size === 1);
      const { crashes, earlyCrashes } = task;
      if (CrashPolicy.shouldGiveUp({ crashes, earlyCrashes, isOnlySuspect })) this.giveUp(live);
    });
  }

  private static jobsOf(runs: readonly LiveRun[]): ReadonlySet<string> {
    return new Set(runs.map(({ place }) => place.job.jobId));
  }

  /**
   * Whether the process that was to run the task ended before the start order was sent: the present one
   * had started by then. The order was meant for a target that had been silent, and is not its cause.
   */
  private static hasCrashedBefore(
    target: FleetTarget,
    { bornMs, orderedUnixMs }: LiveRun,
  ): boolean {
    if (orderedUnixMs === 0 || target.bornMs <= bornMs) return false;
    return target.bornMs < orderedUnixMs - CLOCK_DIFFERENCE_MS;
  }

  private giveUp({ place, run, targetId }: LiveRun): void {
    const { job, task } = place;
    const { taskId, crashes, earlyCrashes } = task;
    task.isGivenUp = true;
    this.logger.warn('task-given-up', {
      jobId: job.jobId,
      taskId,
      run,
      targetId,
      reason: 'crashes-targets',
      crashes,
      earlyCrashes,
    });
  }

  private logCrash(
    { targetId, poolId, reportedMs }: FleetTarget,
    runs: readonly LiveRun[],
    evidence: CrashEvidence,
  ): void {
    const nowMs = this.clock.monotonicMs();
    this.logger.warn('target-crashed', {
      targetId,
      poolId,
      reason: evidence,
      reportAgeMs: Number.isFinite(reportedMs) ? Math.round(nowMs - reportedMs) : undefined,
      runs: runs
        .map((live) => `${live.taskId}#${live.run}:${CrashHandler.describe(live)}`)
        .join(' '),
    });
  }

  /** How long the run was at work by the reports of its target, or that no report has listed it. */
  private static describe({ isConfirmed, reportedMs, reportedWorkMs }: LiveRun): string {
    if (!isConfirmed) return 'unconfirmed';
    return reportedMs === 0 ? 'unreported' : `${Math.round(reportedWorkMs)}ms`;
  }
}
