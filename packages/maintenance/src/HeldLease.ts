/**
 * The holder's local view of its lease, by its monotonic clock. The lease is counted from before
 * the append is sent, so locally it always expires before the lease that the log's clock grants. A
 * process that was paused finds its lease expired as soon as it resumes.
 */
import { type Clock } from '@acaciadock/core';
import { MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';

/** Maximum number of sent claims and renewals kept until they are read back. */
const MAX_SENT = 64;

export class HeldLease {
  private readonly sentAtMs = new Map<string, number>();

  private validUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {}

  /** Records the time just before a claim or renewal is sent. */
  recordSend(recordId: string): void {
    this.sentAtMs.set(recordId, this.clock.monotonicMs());
    const [oldest] = this.sentAtMs.keys();
    if (this.sentAtMs.size > MAX_SENT && oldest !== undefined) this.sentAtMs.delete(oldest);
  }

  /**
   * Records that a claim or renewal was read back as accepted, and extends the lease accordingly.
   * Ignored if this process did not send the record.
   */
  accepted(recordId: string, leaseMs: number): void {
    const sentAtMs = this.sentAtMs.get(recordId);
    if (sentAtMs === undefined) return;
    this.validUntilMs = Math.max(this.validUntilMs, sentAtMs + leaseMs - MAX_CLOCK_SKEW_MS);
    this.sentAtMs.delete(recordId);
  }

  /** Ends the lease because the role was lost or released. */
  end(): void {
    this.validUntilMs = Number.NEGATIVE_INFINITY;
    this.sentAtMs.clear();
  }

  /** Whether the holder may act right now. */
  get isValid(): boolean {
    return this.clock.monotonicMs() < this.validUntilMs;
  }
}
