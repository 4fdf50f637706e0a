/**
 * Keeps a recent snapshot in the log, so that an entry can start after early records have expired.
 * Every entry runs a publisher; the schedule makes sure that usually only one of them publishes.
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
/** The snapshot period is the retention divided by this, but at most an hour. */
const SNAPSHOTS_PER_RETENTION = 4;
/** Records after the last snapshot at which the next is due. */
const MAX_RECORDS = 2_000;
/** The maximum random wait is the snapshot period divided by this. */
const JITTER_DIVISOR = 20;

/** The schedule for a log that keeps records for `retentionMs`. */
export function snapshotScheduleFor(retentionMs: number): SnapshotScheduleOptions {
  const periodMs = Math.min(HOUR_MS, retentionMs / SNAPSHOTS_PER_RETENTION);
  return { periodMs, maxRecords: MAX_RECORDS, jitterMs: periodMs / JITTER_DIVISOR };
}

export class SnapshotPublisher extends Disposable {
  private readonly schedule: SnapshotSchedule;

  /** Whether a publication is scheduled or its append is in flight. */
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
    if (verdict.kind === 'snapshot-agrees') this.schedule.handleSnapshot(ageMs);
    else this.schedule.handleRecord(ageMs);
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

  /** Only an entry that is up to date publishes, and never the empty document of version 0. */
  private mayPublish(): boolean {
    const { isCaughtUp, logReachable } = this.follower;
    if (!isCaughtUp || !logReachable) return false;
    return this.follower.state().version > 0 && this.follower.behindForMs() === undefined;
  }

  private async publish(): Promise<void> {
    // A snapshot that was read during the wait postpones the publication.
    if (this.mayPublish() && this.schedule.publishInMs() === 0) {
      await this.log.append(CONFIG_STREAM, [this.follower.snapshot()]);
      // The answer is ignored: only reading the snapshot back shows that it is in the log.
      this.schedule.handleAppendAttempt();
    }
    this.waiting = false;
  }
}
