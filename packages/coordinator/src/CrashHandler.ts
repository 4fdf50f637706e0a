/**
 * Ends the runs of a target whose process has ended without notice. The proof is that a later
 * process answers at its address or reports under its id; silence alone proves nothing.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { type CommitOutcome } from '@acaciadock/journal';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type RunTracker } from './RunTracker.js';

/** How the end of the process is known: another one answered, or its successor reported. */
export type CrashEvidence = 'other-lifetime' | 'reborn';

export class CrashHandler {
  constructor(
    private readonly runTracker: RunTracker,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Ends the runs, which were meant for a process of the target that has ended. */
  endRuns(
    target: FleetTarget,
    runs: readonly LiveRun[],
    evidence: CrashEvidence,
  ): Promise<CommitOutcome>[] {
    const hasLeft = target.isDraining || target.isReserved;
    const ordered = runs.filter(({ phase }) => phase !== 'planned');
    if (ordered.length > 0 && !hasLeft) this.logCrash(target, ordered, evidence);
    return runs.map((live) => {
      const isCrash = !hasLeft && ordered.includes(live);
      return this.runTracker.finish(live, isCrash ? 'crashed' : 'lost', '');
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
