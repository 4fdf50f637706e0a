/**
 * Follows the claims stream into the table. Ready once it has read to the end that the stream had
 * when it began; until then no keyed work is taken, since an earlier claim might lie ahead.
 */
import { Backoff, type Clock, Disposable, EventEmitter, type Random } from '@acaciadock/core';
import {
  CLAIMS_STREAM,
  type LogPage,
  type LogRecord,
  type LogService,
  type ReadFailure,
} from '@acaciadock/platform';
import { type ClaimTable, type ClaimVerdict } from './ClaimTable.js';

const PAGE_RECORDS = 500;
const HOLD_MS = 1_000;
const RETRY = { firstMs: 50, mostMs: 1_000 };

export class ClaimReader extends Disposable {
  private readonly verdictEmitter = this.register(new EventEmitter<ClaimVerdict>());

  /** Fires for each claim, in the order of the stream. */
  readonly onVerdict = this.verdictEmitter.event;

  private caughtUp = false;

  private readonly backoff: Backoff;

  constructor(
    private readonly table: ClaimTable,
    private readonly log: LogService,
    private readonly clock: Clock,
    random: Random,
  ) {
    super();
    this.backoff = new Backoff(RETRY, random);
  }

  /** Whether all claims that the log keeps have been read once. */
  get isReady(): boolean {
    return this.caughtUp;
  }

  /** Follows the stream until disposed. */
  async run(): Promise<void> {
    while (!this.isDisposed) await this.step(this.caughtUp ? HOLD_MS : 0);
  }

  /** Reads what is there now, without waiting for more. */
  async readNow(): Promise<void> {
    await this.step(0);
  }

  /** Reduces records whose offsets are known from elsewhere: the receipt of an own append. */
  take(records: readonly LogRecord[]): void {
    records.forEach((record) => {
      this.table.apply(record).forEach((verdict) => this.verdictEmitter.fire(verdict));
    });
  }

  private async step(waitMs: number): Promise<void> {
    const page = await this.log.read({
      stream: CLAIMS_STREAM,
      fromOffset: this.table.nextOffset,
      mostRecords: PAGE_RECORDS,
      waitMs,
    });
    if (this.isDisposed) return;
    if (page.isErr()) {
      await this.recover(page.error);
      return;
    }
    this.backoff.reset();
    this.accept(page.value);
  }

  private accept(page: LogPage): void {
    this.take(page.records);
    if (this.table.nextOffset >= page.endOffset) this.caughtUp = true;
  }

  private async recover(failure: ReadFailure): Promise<void> {
    if (failure.kind === 'offset-expired') {
      this.table.skipTo(failure.firstOffset);
      return;
    }
    await this.clock.sleep(this.backoff.nextMs());
  }
}
