/**
 * Tracks what is known about a target's clock and about the leases granted to it, for one lifetime
 * of the target: a restart begins a new lifetime, with a new clock. A lease runs on the target's
 * own monotonic clock, which may be slow, so an expiry is certain only after a margin.
 * Local times are monotonic too. The local clock stops while this process is suspended, which can
 * only delay the time at which an expiry is considered certain.
 */

/** Minimum rate of a target's clock relative to real time. */
export const SLOWEST_CLOCK_RATE = 0.98;

/**
 * A clock value that is lower than the minimum rate allows by more than this, in milliseconds,
 * belongs to a later lifetime of the target.
 */
const CLOCK_TOLERANCE_MS = 50;

export class LeaseClock {
  private reportedClockMs: number | undefined;

  private reportedAtMs = 0;

  private maxGrantedUntilMs = 0;

  /** Local time by which all leases granted by earlier owners have expired. */
  private inheritedUntilMs: number;

  /** Local time by which the leases of all starts in an unknown lifetime have expired. */
  private unconfirmedUntilMs = 0;

  constructor(
    private readonly maxLeaseMs: number,
    inheritedUntilMs = 0,
  ) {
    this.inheritedUntilMs = inheritedUntilMs;
  }

  /** Whether a value of the target's clock has been received. */
  get isKnown(): boolean {
    return this.reportedClockMs !== undefined;
  }

  /** Records a value of the target's clock, read between `sentAtMs` and `receivedAtMs`. */
  recordClock(clockMs: number, sentAtMs: number, receivedAtMs: number): void {
    this.reportedClockMs = clockMs;
    this.reportedAtMs = receivedAtMs;
    // The target has now seen this owner's fencing token, so it accepts no more leases of earlier
    // owners. One that it may already have expires within the maximum lease.
    this.limitInheritedLeases(sentAtMs + this.maxLeaseMs / SLOWEST_CLOCK_RATE);
  }

  /** Lowers the local time by which the leases of earlier owners have expired; never raises it. */
  limitInheritedLeases(untilMs: number): void {
    this.inheritedUntilMs = Math.min(this.inheritedUntilMs, untilMs);
  }

  /**
   * Returns a lease expiry at most `leaseMs` from now on the target's clock, and records it as granted. The clock is
   * taken to be as slow as it may be, so that no lease is longer than a successor of this owner takes it to be.
   */
  grant(leaseMs: number, nowMs: number): number {
    const passedMs = (nowMs - this.reportedAtMs) * SLOWEST_CLOCK_RATE;
    const clockMs = (this.reportedClockMs ?? 0) + passedMs;
    const untilMs = Math.floor(clockMs + Math.min(leaseMs, this.maxLeaseMs));
    this.maxGrantedUntilMs = Math.max(this.maxGrantedUntilMs, untilMs);
    return untilMs;
  }

  /** Whether a clock value read after `sentAtMs` can be from the lifetime recorded last. */
  isSameLifetime(clockMs: number, sentAtMs: number): boolean {
    if (this.reportedClockMs === undefined) return true;
    const passedMs = Math.max(0, sentAtMs - this.reportedAtMs);
    return clockMs >= this.reportedClockMs + passedMs * SLOWEST_CLOCK_RATE - CLOCK_TOLERANCE_MS;
  }

  /**
   * Records a start that may have reached a later lifetime of the target. A later lifetime has a
   * clock of its own, on which the granted expiry is far in the future; the target then limits the
   * lease to its maximum.
   */
  recordUnconfirmedStart(sentAtMs: number): void {
    const untilMs = sentAtMs + this.maxLeaseMs / SLOWEST_CLOCK_RATE;
    this.unconfirmedUntilMs = Math.max(this.unconfirmedUntilMs, untilMs);
  }

  /** Local time from which nothing can still be running under a lease. */
  certainlyExpiredAtMs(): number {
    return Math.max(this.listedRunsExpiredAtMs(), this.unconfirmedUntilMs);
  }

  /**
   * Local time from which no run that a report has listed can still be running. Such a run belongs to
   * the lifetime recorded last, so a start that may have reached a later one does not extend its lease.
   */
  listedRunsExpiredAtMs(): number {
    if (this.reportedClockMs === undefined) return this.inheritedUntilMs;
    const remainingMs = Math.max(0, this.maxGrantedUntilMs - this.reportedClockMs);
    const ownUntilMs = this.reportedAtMs + remainingMs / SLOWEST_CLOCK_RATE;
    return Math.max(ownUntilMs, this.inheritedUntilMs);
  }
}
