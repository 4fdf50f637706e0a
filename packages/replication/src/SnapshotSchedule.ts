/**
 * When this entry should publish a snapshot: well before the last one expires, or when so many
 * records follow it that a start gets slow. Each entry waits a random time on top, and a snapshot
 * that is read meanwhile, whoever wrote it, ends the wait: so one is enough.
 */
import { type Clock, type Random } from '@acaciadock/core';

const READ_BACK_MS = 10_000;

export interface SnapshotScheduleOptions {
  /** Age of the last snapshot at which the next is due, in milliseconds. */
  readonly periodMs: number;
  /** Records after the last snapshot at which the next is due. */
  readonly mostRecords: number;
  /** Range of the random wait on top, in milliseconds. */
  readonly jitterMs: number;
}

export class SnapshotSchedule {
  /** When the last snapshot, or the oldest record if there is none, was appended. */
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

  /** A record other than a snapshot was read, this long after it was appended. */
  recordRead(ageMs: number): void {
    this.recordsSince += 1;
    if (!this.snapshotSeen) this.lastAtMs = Math.min(this.lastAtMs, this.before(ageMs));
  }

  /** A snapshot that agrees with this reader was read, this long after it was appended. */
  snapshotRead(ageMs: number): void {
    this.snapshotSeen = true;
    this.lastAtMs = this.before(ageMs);
    this.recordsSince = 0;
    this.publishAtMs = undefined;
  }

  /** This entry has tried to append one: leave time to read it before trying again. */
  attempted(): void {
    this.publishAtMs = this.drawTime() + READ_BACK_MS;
  }

  /** Milliseconds until this entry should publish, 0 for now; undefined if none is due. */
  publishInMs(): number | undefined {
    const nowMs = this.clock.monotonicMs();
    const { periodMs, mostRecords } = this.options;
    const due = nowMs - this.lastAtMs >= periodMs || this.recordsSince >= mostRecords;
    if (!due) return undefined;
    this.publishAtMs ??= this.drawTime();
    return Math.max(0, this.publishAtMs - nowMs);
  }

  private before(ageMs: number): number {
    return this.clock.monotonicMs() - Math.max(0, ageMs);
  }

  private drawTime(): number {
    return this.clock.monotonicMs() + this.random.next() * this.options.jitterMs;
  }
}
