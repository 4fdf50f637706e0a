/**
 * Whether a run is worth giving up for a new one elsewhere: it stands still, or at its pace it
 * would take much longer than starting over. Answers targets that stall or crawl while healthy.
 */

export interface RunProgress {
  /** Milliseconds from the confirmation of the run to the report that `percent` is from. */
  readonly elapsedMs: number;
  /** Milliseconds since the target last reported any progress. */
  readonly sinceProgressMs: number;
  /** Milliseconds since the target last reported the run at all. */
  readonly sinceReportMs: number;
  /** Progress, 0 to 100. */
  readonly percent: number;
  /** Expected time of a whole run on a sound target. */
  readonly expectedMs: number;
}

export type StragglerVerdict = 'sound' | 'stalled' | 'slow';

/** Two reports without progress; a target reports at least once a second. */
const STALL_MS = 2_100;

/** Only a report this fresh proves anything, in milliseconds. */
const FRESH_REPORT_MS = 1_300;

/** The pace of a run says little before this, in milliseconds. */
const LEAST_ELAPSED_MS = 700;

/** What is left must take this many times a whole new run; jobs of a queue differ by half. */
const SLOW_FACTOR = 4;

export class StragglerRule {
  static judge(run: RunProgress): StragglerVerdict {
    if (run.sinceReportMs > FRESH_REPORT_MS || run.percent >= 100) return 'sound';
    if (run.sinceProgressMs > STALL_MS) return 'stalled';
    if (run.elapsedMs < LEAST_ELAPSED_MS || run.percent <= 0) return 'sound';
    const leftMs = (run.elapsedMs / run.percent) * (100 - run.percent);
    return leftMs > run.expectedMs * SLOW_FACTOR ? 'slow' : 'sound';
  }
}
