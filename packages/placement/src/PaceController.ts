/**
 * At which share filling tasks work beside tasks that serve. Answers neighbours whose load changes
 * within seconds: down at once by a large factor while any serving task is near its bound, up in
 * small steps while all are well below (additive increase, multiplicative decrease, as in
 * congestion control: Chiu and Jain, 1989).
 */

export interface ServingReading {
  /** Tail of the response times over the last half second, in milliseconds. */
  readonly tailMs: number;
  /** Bound on it, in milliseconds. */
  readonly targetMs: number;
}

/** Above this share of its bound a serving task is about to miss it. */
const NEAR_SHARE = 0.85;

/** Below this share of its bound there is room for more filling work. */
const CALM_SHARE = 0.65;

/** The bound must hold again within seconds, so that three steps reach zero. */
const DECREASE_FACTOR = 0.3;

const INCREASE_PERCENT = 10;

/** A share below this is no use. */
const LEAST_PERCENT = 5;

const FULL_PERCENT = 100;

/** A share that did harm is not tried again for this long, in milliseconds. */
const MEMORY_MS = 8_000;

export class PaceController {
  private percent = FULL_PERCENT;

  private ceilingPercent = FULL_PERCENT;

  private harmedMs = -Infinity;

  /** The share for all filling tasks of one target, 0 to 100. */
  next(serving: readonly ServingReading[], nowMs: number): number {
    const bounded = serving.filter((one) => one.targetMs > 0);
    const worstShare = Math.max(0, ...bounded.map((one) => one.tailMs / one.targetMs));
    if (worstShare > NEAR_SHARE) this.decrease(nowMs);
    else if (worstShare < CALM_SHARE) this.increase(nowMs);
    return this.percent;
  }

  private decrease(nowMs: number): void {
    this.ceilingPercent = Math.max(0, this.percent - INCREASE_PERCENT);
    this.harmedMs = nowMs;
    const lower = Math.floor(this.percent * DECREASE_FACTOR);
    this.percent = lower < LEAST_PERCENT ? 0 : lower;
  }

  private increase(nowMs: number): void {
    if (nowMs - this.harmedMs > MEMORY_MS) this.ceilingPercent = FULL_PERCENT;
    const higher = Math.max(LEAST_PERCENT, this.percent + INCREASE_PERCENT);
    this.percent = Math.max(this.percent, Math.min(higher, this.ceilingPercent, FULL_PERCENT));
  }
}
