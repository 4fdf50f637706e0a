/**
 * Controls the pace of the filler tasks on a target, a work rate in percent, so that the serving
 * tasks beside them stay within their latency bounds, even if their load changes within seconds.
 * Serving tasks are those with a latency bound. The pace drops by a large factor as soon as any of
 * them approaches its bound, and rises in small steps while all of them are well below (additive
 * increase, multiplicative decrease, as in congestion control: Chiu and Jain, 1989).
 */

export interface ServingReading {
  /** Tail latency of the last half second, in milliseconds. */
  readonly tailMs: number;
  /** Bound on the tail latency, in milliseconds; 0 means none. */
  readonly targetMs: number;
}

/** The pace decreases once a tail latency exceeds this fraction of its bound. */
const DECREASE_ABOVE_SHARE = 0.85;

/** The pace increases while every tail latency is below this fraction of its bound. */
const INCREASE_BELOW_SHARE = 0.65;

/** Three decreases reach zero, because the bound must hold again within seconds. */
const DECREASE_FACTOR = 0.3;

const INCREASE_PERCENT = 10;

/** Lowest pace above zero, in percent; a lower one would achieve nothing. */
const MIN_PERCENT = 5;

const FULL_PERCENT = 100;

/** Time for which the pace stays below the one that caused the last decrease, in milliseconds. */
const CEILING_HOLD_MS = 8_000;

export class PaceController {
  private percent = FULL_PERCENT;

  private ceilingPercent = FULL_PERCENT;

  private decreasedMs = -Infinity;

  /** Returns the next pace in percent, 0 to 100, for each filler task on the target. */
  next(serving: readonly ServingReading[], nowMs: number): number {
    const bounded = serving.filter((one) => one.targetMs > 0);
    const worstShare = Math.max(0, ...bounded.map((one) => one.tailMs / one.targetMs));
    if (worstShare > DECREASE_ABOVE_SHARE) this.decrease(nowMs);
    else if (worstShare < INCREASE_BELOW_SHARE) this.increase(nowMs);
    return this.percent;
  }

  private decrease(nowMs: number): void {
    this.ceilingPercent = Math.max(0, this.percent - INCREASE_PERCENT);
    this.decreasedMs = nowMs;
    const lower = Math.floor(this.percent * DECREASE_FACTOR);
    this.percent = lower < MIN_PERCENT ? 0 : lower;
  }

  private increase(nowMs: number): void {
    if (nowMs - this.decreasedMs > CEILING_HOLD_MS) this.ceilingPercent = FULL_PERCENT;
    const higher = Math.max(MIN_PERCENT, this.percent + INCREASE_PERCENT);
    this.percent = Math.max(this.percent, Math.min(higher, this.ceilingPercent, FULL_PERCENT));
  }
}
