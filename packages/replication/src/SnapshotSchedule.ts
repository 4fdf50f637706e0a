/**
 * Decides when this entry should publish a snapshot: well before the last snapshot expires, or when
 * so many records follow it that starting an entry becomes slow. Each entry waits for an additional
 * random time, and stops waiting if it reads a snapshot by any entry in the meantime, so that
 * usually only one entry publishes.
 */
import { type Clock, type Random } from '@acaciadock/core';

/** Time to read an appended snapshot back from the log before another append is attempted. */
const READ_BACK_TIMEOUT_MS = 10_000;

export interface SnapshotScheduleOptions {
  /** Age of the last snapshot at which the next is due, in milliseconds. */
  readonly periodMs: number;
  /** Number of records after the last snapshot at which the next is due. */
  readonly maxRecords: number;
  /** Upper bound of the additional random wait, in milliseconds. */
  readonly jitterMs: number;
}

export class SnapshotSchedule {
  /** When the last snapshot was appended, or the oldest record if there is no snapshot. */
  private lastAtMs: number;

  private recordsSince = 0;

  private snapshotSeen = false;

  private publishAtMs: number | undefined;

  constructor(
    private readonly options: SnapshotScheduleOptions,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.lastAtMs = clock.monotonicMs();
  }

  /** Handles a record, other than a snapshot that agrees with this reader, of the given age. */
  handleRecord(ageMs: number): void {
    this.recordsSince += 1;
    if (!this.snapshotSeen) this.lastAtMs = Math.min(this.lastAtMs, this.timeBefore(ageMs));
  }

  /** Handles a snapshot of the given age that agrees with this reader. */
  handleSnapshot(ageMs: number): void {
    this.snapshotSeen = true;
    this.lastAtMs = this.timeBefore(ageMs);
    this.recordsSince = 0;
    this.publishAtMs = undefined;
  }

  /** Handles an attempt to append a snapshot: allows time to read it before the next attempt. */
  handleAppendAttempt(): void {
    this.publishAtMs = this.jitteredTime() + READ_BACK_TIMEOUT_MS;
  }

  /** Milliseconds until this entry should publish, 0 for immediately; undefined if none is due. */
  publishInMs(): number | undefined {
    const nowMs = this.clock.monotonicMs();
    const { periodMs, maxRecords } = this.options;
    const due = nowMs - this.lastAtMs >= periodMs || this.recordsSince >= maxRecords;
    if (!due) return undefined;
    this.publishAtMs ??= this.jitteredTime();
    return Math.max(0, this.publishAtMs - nowMs);
  }

  private timeBefore(ageMs: number): number {
    return this.clock.monotonicMs() - Math.max(0, ageMs);
  }

  private jitteredTime(): number {
    return this.clock.monotonicMs() + this.random.next() * this.options.jitterMs;
  }
}
