/** Chooses how long a target may wait with its report, and how long after it the next one is requested. */
import { type Clock } from '@acaciadock/core';
import { PACE_PERIOD_MS } from './FillerPacer.js';
import { type FleetTarget } from './FleetTarget.js';

/** Long-poll time of a report, in milliseconds: the target may wait this long for a run to end. */
const REPORT_WAIT_MS = 1_000;

/**
 * Long-poll time while runs that are not long-running are on the target, in milliseconds. If a
 * report gets lost, no end is received until the loss is noticed. A shorter wait would send more
 * requests for little gain.
 */
const SHORT_REPORT_WAIT_MS = 250;

/**
 * Shortest long-poll time of a target that is kept for suspects of a crash, in milliseconds: it stays closed
 * to other tasks until a report shows its suspects at work for long enough.
 */
const MIN_SUSPECT_REPORT_WAIT_MS = 50;

/**
 * Longest time from a report to the next request, in milliseconds, while the owner is busy. Ends that come
 * meanwhile share a report; each report costs the owner about as much as a start. It is well below
 * `MAX_REPORT_GAP_MS` of `TargetDriver`, as an end that isn't acknowledged is reported again at once.
 */
const MAX_GATHER_MS = 60;

/** Busy share of the event loop from which reports are put off, and from which by the longest time. */
const GATHER_FROM_SHARE = 0.6;
const GATHER_MOST_SHARE = 0.9;

export class ReportTiming {
  constructor(
    private readonly target: FleetTarget,
    private readonly clock: Clock,
  ) {}

  /** Long-poll time of the next report, in milliseconds. */
  get waitMs(): number {
    const { target } = this;
    const isSettled = target.durableEnd === target.processedEnd;
    const mayWait = target.isConfirmed && isSettled && target.consecutiveFailures === 0;
    if (!mayWait || target.runs.size === 0) return 0;
    if (target.isIsolated) return this.suspectWaitMs;
    if (target.runs.size > target.longRunningCount) return SHORT_REPORT_WAIT_MS;
    const needsPacing = target.fillerCount > 0 && target.servingCount > 0;
    return needsPacing ? PACE_PERIOD_MS : REPORT_WAIT_MS;
  }

  /**
   * Time until the next request, in milliseconds: while the owner is busy, further ends share the report,
   * unless suspects wait for it.
   */
  pauseMs(busyShare: number): number {
    const { target } = this;
    if (target.runs.size === target.longRunningCount || target.isIsolated) return 0;
    const excess = (busyShare - GATHER_FROM_SHARE) / (GATHER_MOST_SHARE - GATHER_FROM_SHARE);
    const intervalMs = Math.min(1, excess) * MAX_GATHER_MS;
    return Math.max(0, target.reportedMs + intervalMs - this.clock.monotonicMs());
  }

  /** Time until the early runs of the target may count as settled. */
  private get suspectWaitMs(): number {
    const nowMs = this.clock.monotonicMs();
    const early = [...this.target.runs.values()].filter(({ isEarly }) => isEarly);
    if (early.length === 0) return SHORT_REPORT_WAIT_MS;
    const settledMs = Math.max(...early.map(({ settledAfterMs }) => settledAfterMs));
    const waitMs = Math.max(MIN_SUSPECT_REPORT_WAIT_MS, Math.ceil(settledMs - nowMs));
    return Math.min(SHORT_REPORT_WAIT_MS, waitMs);
  }
}
