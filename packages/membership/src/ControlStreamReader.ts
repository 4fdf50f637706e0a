/**
 * Reads the control stream once on behalf of all its consumers in the process. Each consumer
 * handles the record kinds that it knows. If the first records have already expired, the reader
 * holds records back until it finds a snapshot that covers the expired ones and replays from there.
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
/** A third of `fenceMs`: two reads may fail before the entry must fence itself. */
const READ_WAIT_MS = 1_000;
const RETRY_BACKOFF = { firstMs: 50, maxMs: 500 };

const snapshotSchema = z.object({
  kind: z.literal('control-snapshot'),
  /** Offset of the last record that the snapshot includes. */
  includedOffset: z.number().int().min(-1),
  roster: z.unknown(),
  credits: z.unknown(),
});

export type ControlSnapshot = z.infer<typeof snapshotSchema>;

/** A read that reached the end of the stream. `sentAtMs` is from the monotonic clock. */
export interface LogConfirmation {
  readonly sentAtMs: number;
  readonly nextOffset: number;
}

export class ControlStreamReader extends Disposable {
  private readonly recordEmitter = this.register(new EventEmitter<LogRecord>());

  /** Fires for each record in order, starting with the first or with the first after a snapshot. */
  readonly onRecord = this.recordEmitter.event;

  private readonly snapshotEmitter = this.register(new EventEmitter<ControlSnapshot>());

  /** Fires when replay starts from a snapshot: consumers replace their state with it. */
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
    this.backoff = new Backoff(RETRY_BACKOFF, random);
  }

  /** Whether the last read of the log succeeded. */
  get logReachable(): boolean {
    return this.reachable;
  }

  /** Whether records are held back until a snapshot is found. */
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
        maxRecords: PAGE_RECORDS,
        waitMs: READ_WAIT_MS,
      });
      if (this.isDisposed) return;
      if (page.isOk()) this.handlePage(page.value, sentAtMs);
      else await this.handleFailure(page.error);
    }
  }

  private handlePage(page: LogPage, sentAtMs: number): void {
    this.reachable = true;
    this.backoff.reset();
    this.nextOffset = page.nextOffset;
    page.records.forEach((record) => this.handleRecord(record));
    if (page.nextOffset < page.endOffset || this.held) return;
    this.confirmationEmitter.fire({ sentAtMs, nextOffset: page.nextOffset });
  }

  private handleRecord(record: LogRecord): void {
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

  private async handleFailure(failure: ReadFailure): Promise<void> {
    if (failure.kind === 'offset-expired') {
      this.nextOffset = failure.firstOffset;
      this.held = [];
      return;
    }
    this.reachable = false;
    await this.clock.sleep(this.backoff.nextMs());
  }
}
