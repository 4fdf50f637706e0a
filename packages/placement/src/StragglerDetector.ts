/**
 * Detects runs that should be abandoned and started anew on another target: those that make no
 * progress, and those whose remaining time at their current pace far exceeds that of a new run.
 * This covers targets that pass health checks while their tasks stall or run slowly. Tasks that are
 * long by themselves would take as long elsewhere, so a slow run is abandoned only if its target is
 * the cause or if its queue has no such tasks.
 */
import { type TailKind } from './RuntimeEstimates.js';
import { TargetSpeed } from './TargetSpeed.js';

export interface RunProgress {
  /** Milliseconds from the confirmed start of the run to the report that contained `percent`. */
  readonly elapsedMs: number;
  /** Milliseconds since a report last showed progress of the run. */
  readonly sinceProgressMs: number;
  /** Milliseconds since the last report that contained the run. */
  readonly sinceReportMs: number;
  /** Progress, 0 to 100. */
  readonly percent: number;
  /** Expected duration of a complete run on a healthy target; infinite if unknown. */
  readonly expectedMs: number;
}

export interface SlowRunEvidence {
  /** Median multiple of the usual time that the target's other runs take; undefined if unknown. */
  readonly targetSlowdown: number | undefined;
  /** Whether long runs are inherent in the queue of the run. */
  readonly tail: TailKind;
  /** Progress, 0 to 100. */
  readonly percent: number;
  /** Progress that a new run would resume from, 0 to 100. */
  readonly checkpointPercent: number;
}

export type StragglerVerdict = 'sound' | 'stalled' | 'slow';

/** Just over two report periods, in milliseconds; a target reports at least once a second. */
const STALL_MS = 2_100;

/** Maximum age of a report on which a verdict may be based, in milliseconds. */
const MAX_REPORT_AGE_MS = 1_300;

/**
 * A run is slow if its remaining time exceeds this multiple of a complete new run. Runtimes vary by
 * about half within one queue, so a smaller factor would restart healthy runs.
 */
const SLOW_FACTOR = 4;

/** Minimum runtime before the pace of a run is meaningful, in milliseconds. */
export const MIN_PACE_MS = 700;

export class StragglerDetector {
  /** Classifies a run; returns `sound` unless a recent report shows otherwise. */
  static classify(run: RunProgress): StragglerVerdict {
    if (run.sinceReportMs > MAX_REPORT_AGE_MS || run.percent >= 100) return 'sound';
    if (run.sinceProgressMs > STALL_MS) return 'stalled';
    if (run.elapsedMs < MIN_PACE_MS || run.percent <= 0) return 'sound';
    const remainingMs = (run.elapsedMs / run.percent) * (100 - run.percent);
    return remainingMs > run.expectedMs * SLOW_FACTOR ? 'slow' : 'sound';
  }

  /** Whether a run that was classified as slow should be restarted on another target. */
  static shouldRestart(evidence: SlowRunEvidence): boolean {
    const { targetSlowdown, tail, percent, checkpointPercent } = evidence;
    if (tail === 'negligible') return true;
    if (targetSlowdown === undefined || !TargetSpeed.isSlow(targetSlowdown)) return false;
    // Both times are fractions of the run's total, which elsewhere is shorter by the slowdown.
    const restartShare = (100 - checkpointPercent) / targetSlowdown;
    return restartShare < 100 - percent;
  }
}
