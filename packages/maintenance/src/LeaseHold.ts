/**
 * The holder's own view of its lease, by its monotonic clock. The lease counts from the moment
 * before the append was sent, so it never outlasts what the log's clock grants; a process that
 * was paused finds it lapsed at its next look.
 */
import { type Clock } from '@acaciadock/core';
import { MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';

/** Sent appends that are remembered until they are read back. */
const MAX_SENT = 64;

export class LeaseHold {
  private readonly sentAtMs = new Map<string, number>();

  private validUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {}

  /** A claim or renewal of this id is about to be sent. */
  sending(recordId: string): void {
    this.sentAtMs.set(recordId, this.clock.monotonicMs());
    const [oldest] = this.sentAtMs.keys();
    if (this.sentAtMs.size > MAX_SENT && oldest !== undefined) this.sentAtMs.delete(oldest);
  }

  /** The record was read back as accepted. One that this process never sent changes nothing. */
  accepted(recordId: string, leaseMs: number): void {
    const sentAtMs = this.sentAtMs.get(recordId);
    if (sentAtMs === undefined) return;
    this.validUntilMs = Math.max(this.validUntilMs, sentAtMs + leaseMs - MAX_CLOCK_SKEW_MS);
    this.sentAtMs.delete(recordId);
  }

  /** The role is lost or given up. */
  end(): void {
    this.validUntilMs = Number.NEGATIVE_INFINITY;
    this.sentAtMs.clear();
  }

  /** Whether a step may be taken at this very moment. */
  get isValid(): boolean {
    return this.clock.monotonicMs() < this.validUntilMs;
  }
}
