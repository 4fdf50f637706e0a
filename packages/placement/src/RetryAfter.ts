/**
 * Decides when a refused caller should return while a dependency is unavailable. It answers the load
 * of callers with a handful of tries that keep arriving during an outage of seconds: a short delay at
 * first, because most outages are short and a late return costs the caller its response-time
 * objective, and longer ones as the outage lasts, so that nobody uses up all tries within it. Callers
 * arrive at different times, so their returns are spread like their arrivals.
 */

/** Delay within the first part of an outage, in milliseconds; callers return in whole seconds. */
const MIN_DELAY_MS = 1_000;

const MAX_DELAY_MS = 3_000;

/** The delay grows by `MIN_DELAY_MS` with each such part of the outage, in milliseconds. */
const OUTAGE_PART_MS = 2_000;

export class RetryAfter {
  /** Delay for a caller that is refused this long after the start of the outage, in milliseconds. */
  static duringOutageMs(outageMs: number): number {
    const parts = Math.floor(Math.max(outageMs, 0) / OUTAGE_PART_MS);
    return Math.min(MIN_DELAY_MS * (1 + parts), MAX_DELAY_MS);
  }
}
