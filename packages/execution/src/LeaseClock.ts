/**
 * What is known of a target's clock and of the lease it was given. The lease runs on the target's
 * own steady clock, which may be slow, so the end of a lease is certain only after a margin.
 * Own time is monotonic; it stands still while this process is suspended, which only adds delay.
 */

/** A target's clock shows at least this share of the time that has passed. */
export const SLOWEST_CLOCK_RATE = 0.98;

/** A clock that shows this much less than it must belongs to a later lifetime; milliseconds. */
const CLOCK_TOLERANCE_MS = 50;

export class LeaseClock {
  private shownClockMs: number | undefined;

  private shownAtMs = 0;

  private largestUntilMs = 0;

  /** Latest moment, own time, at which leases given by earlier owners have ended. */
  private inheritedUntilMs: number;

  /** Latest moment, own time, at which the lease of a start in an unknown lifetime ends. */
  private unconfirmedUntilMs = 0;

  constructor(
    private readonly mostLeaseMs: number,
    inheritedUntilMs = 0,
  ) {
    this.inheritedUntilMs = inheritedUntilMs;
  }

  get isKnown(): boolean {
    return this.shownClockMs !== undefined;
  }

  /** Takes up a clock value; `sentAtMs` and `receivedAtMs` bracket the moment it was read. */
  show(clockMs: number, sentAtMs: number, receivedAtMs: number): void {
    this.shownClockMs = clockMs;
    this.shownAtMs = receivedAtMs;
    // The target has now seen this owner's token, so no other lease than ours and the one that
    // it may already have can be in force.
    this.boundInherited(sentAtMs + this.mostLeaseMs / SLOWEST_CLOCK_RATE);
  }

  /** Leases given by earlier owners end by then, own time, if that is sooner than was known. */
  boundInherited(untilMs: number): void {
    this.inheritedUntilMs = Math.min(this.inheritedUntilMs, untilMs);
  }

  /** A lease end `leaseMs` from now, on the target's clock; remembered as sent. */
  grant(leaseMs: number, nowMs: number): number {
    const clockMs = (this.shownClockMs ?? 0) + (nowMs - this.shownAtMs);
    const untilMs = Math.floor(clockMs + Math.min(leaseMs, this.mostLeaseMs));
    this.largestUntilMs = Math.max(this.largestUntilMs, untilMs);
    return untilMs;
  }

  /** Whether a clock read since `sentAtMs` can be that of the lifetime which was shown last. */
  isSameLifetime(clockMs: number, sentAtMs: number): boolean {
    if (this.shownClockMs === undefined) return true;
    const passedMs = Math.max(0, sentAtMs - this.shownAtMs);
    return clockMs >= this.shownClockMs + passedMs * SLOWEST_CLOCK_RATE - CLOCK_TOLERANCE_MS;
  }

  /**
   * Takes up a start whose lifetime is not certain. A later one has a clock of its own, on which the
   * lease that was meant is far in the future; the target then grants its longest.
   */
  noteUnconfirmed(sentAtMs: number): void {
    const untilMs = sentAtMs + this.mostLeaseMs / SLOWEST_CLOCK_RATE;
    this.unconfirmedUntilMs = Math.max(this.unconfirmedUntilMs, untilMs);
  }

  /** Own time from which nothing can be running on a lease any more. */
  surelyLapsedAtMs(): number {
    const leastMs = Math.max(this.inheritedUntilMs, this.unconfirmedUntilMs);
    if (this.shownClockMs === undefined) return leastMs;
    const leftMs = Math.max(0, this.largestUntilMs - this.shownClockMs);
    const ownMs = this.shownAtMs + leftMs / SLOWEST_CLOCK_RATE;
    return Math.max(ownMs, leastMs);
  }
}
