/**
 * The task that keeps a snapshot in the log, so that entries can start after early records have
 * expired. All entries run it; the schedule sees to it that one of them publishes.
 */
import {
  type Clock,
  Disposable,
  type IDisposable,
  type Random,
  toDisposable,
} from '@acaciadock/core';
import { CONFIG_STREAM, type LogService } from '@acaciadock/platform';
import { type ConfigFollower } from './ConfigFollower.js';
import { type ReducedRecord } from './ConfigReplica.js';
import { SnapshotSchedule, type SnapshotScheduleOptions } from './SnapshotSchedule.js';

const CHECK_PERIOD_MS = 1_000;
const HOUR_MS = 3_600_000;
/** A snapshot is due when this part of the retention has passed since the last. */
const RETENTION_PARTS = 4;
const MOST_RECORDS = 2_000;
const JITTER_PARTS = 20;

/** The schedule for a log that keeps records for `retentionMs`. */
export function snapshotScheduleFor(retentionMs: number): SnapshotScheduleOptions {
  const periodMs = Math.min(HOUR_MS, retentionMs / RETENTION_PARTS);
  return { periodMs, mostRecords: MOST_RECORDS, jitterMs: periodMs / JITTER_PARTS };
}

export class SnapshotPublisher extends Disposable {
  private readonly schedule: SnapshotSchedule;

  /** A snapshot is about to be published, or on its way. */
  private waiting = false;

  private timer: IDisposable | undefined;

  constructor(
    private readonly log: LogService,
    private readonly follower: ConfigFollower,
    private readonly clock: Clock,
    random: Random,
    options: SnapshotScheduleOptions,
  ) {
    super();
    this.schedule = new SnapshotSchedule(options, clock, random);
    this.register(follower.onRecord((record) => this.observe(record)));
    this.register(clock.every(CHECK_PERIOD_MS, () => this.check()));
    this.register(toDisposable(() => this.timer?.dispose()));
  }

  private observe({ verdict, appendedAtMs }: ReducedRecord): void {
    const nowMs = this.clock.unixMs();
    const ageMs = nowMs - (appendedAtMs ?? nowMs);
    if (verdict.kind === 'snapshot-agrees') this.schedule.snapshotRead(ageMs);
    else this.schedule.recordRead(ageMs);
  }

  private check(): void {
    if (this.waiting || !this.mayPublish()) return;
    const delayMs = this.schedule.publishInMs();
    if (delayMs === undefined) return;
    this.waiting = true;
    this.timer = this.clock.after(delayMs, () => {
      void this.publish();
    });
  }

  /** Only a reader that is up to date publishes, and never the empty start. */
  private mayPublish(): boolean {
    const { isCaughtUp, logReachable } = this.follower;
    if (!isCaughtUp || !logReachable) return false;
    return this.follower.state().version > 0 && this.follower.behindForMs() === undefined;
  }

  private async publish(): Promise<void> {
    // A snapshot that was read during the wait has put the time off.
    if (this.mayPublish() && this.schedule.publishInMs() === 0) {
      await this.log.append(CONFIG_STREAM, [this.follower.snapshot()]);
      // Whether it is in the log is told by reading it, not by the answer.
      this.schedule.attempted();
    }
    this.waiting = false;
  }
}
