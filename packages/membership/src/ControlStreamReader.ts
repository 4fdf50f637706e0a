/**
 * The task that reads the control stream once for everybody in the process who reduces it. Each
 * user takes the kinds that it knows. A reader that comes after the first records have expired
 * waits for a snapshot that reaches back far enough, and replays from there.
 */
import { Backoff, type Clock, Disposable, EventEmitter, type Random } from '@acaciadock/core';
import {
  CONTROL_STREAM,
  type LogPage,
  type LogRecord,
  type LogService,
  type ReadFailure,
} from '@acaciadock/platform';
import { z } from 'zod';

const PAGE_RECORDS = 1_000;
const READ_WAIT_MS = 500;
const RETRY = { firstMs: 50, mostMs: 500 };

const snapshotSchema = z.object({
  kind: z.literal('control-snapshot'),
  /** Offset of the last record that the snapshot includes. */
  includedOffset: z.number().int().min(-1),
  roster: z.unknown(),
  credits: z.unknown(),
});

export type ControlSnapshot = z.infer<typeof snapshotSchema>;

/** A read that reached the end of the stream, and when it was sent, by the monotonic clock. */
export interface LogConfirmation {
  readonly sentAtMs: number;
  readonly nextOffset: number;
}

export class ControlStreamReader extends Disposable {
  private readonly recordEmitter = this.register(new EventEmitter<LogRecord>());

  /** Fires for each record in order, from the first or from after a snapshot. */
  readonly onRecord = this.recordEmitter.event;

  private readonly snapshotEmitter = this.register(new EventEmitter<ControlSnapshot>());

  /** Fires where replay begins at a snapshot: users load it and drop what they had. */
  readonly onSnapshot = this.snapshotEmitter.event;

  private readonly confirmationEmitter = this.register(new EventEmitter<LogConfirmation>());

  readonly onConfirmed = this.confirmationEmitter.event;

  private readonly backoff: Backoff;

  private nextOffset = 0;

  /** Records held back until a snapshot is found; undefined once replay has begun. */
  private held: LogRecord[] | undefined;

  private reachable = false;

  constructor(
    private readonly log: LogService,
    private readonly clock: Clock,
    random: Random,
  ) {
    super();
    this.backoff = new Backoff(RETRY, random);
  }

  /** Whether the last read of the log was answered. */
  get logReachable(): boolean {
    return this.reachable;
  }

  /** Whether records are held back for want of a snapshot. */
  get awaitsSnapshot(): boolean {
    return this.held !== undefined;
  }

  /** Reads until disposed. */
  async run(): Promise<void> {
    while (!this.isDisposed) {
      const sentAtMs = this.clock.monotonicMs();
      const page = await this.log.read({
        stream: CONTROL_STREAM,
        fromOffset: this.nextOffset,
        mostRecords: PAGE_RECORDS,
        waitMs: READ_WAIT_MS,
      });
      if (this.isDisposed) return;
      if (page.isOk()) this.accept(page.value, sentAtMs);
      else await this.recover(page.error);
    }
  }

  private accept(page: LogPage, sentAtMs: number): void {
    this.reachable = true;
    this.backoff.reset();
    this.nextOffset = page.nextOffset;
    page.records.forEach((record) => this.take(record));
    if (page.nextOffset < page.endOffset || this.held) return;
    this.confirmationEmitter.fire({ sentAtMs, nextOffset: page.nextOffset });
  }

  private take(record: LogRecord): void {
    if (!this.held) {
      this.recordEmitter.fire(record);
      return;
    }
    this.held.push(record);
    const snapshot = snapshotSchema.safeParse(record.payload);
    if (!snapshot.success) return;
    const { includedOffset } = snapshot.data;
    const { held } = this;
    if (includedOffset + 1 < (held[0]?.offset ?? 0)) return;
    this.held = undefined;
    this.snapshotEmitter.fire(snapshot.data);
    held
      .filter(({ offset }) => offset > includedOffset)
      .forEach((later) => this.recordEmitter.fire(later));
  }

  private async recover(failure: ReadFailure): Promise<void> {
    if (failure.kind === 'offset-expired') {
      this.nextOffset = failure.firstOffset;
      this.held = [];
      return;
    }
    this.reachable = false;
    await this.clock.sleep(this.backoff.nextMs());
  }
}
