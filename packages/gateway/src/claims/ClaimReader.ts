/**
 * Follows the claims stream and applies its records to the table. Becomes ready once it has read
 * to the end of the stream; until then no keyed work is accepted, since an earlier claim for the
 * same key may not have been read yet.
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
const LONG_POLL_MS = 3_000;
const RETRY = { firstMs: 50, maxMs: 1_000 };

export class ClaimReader extends Disposable {
  private readonly verdictEmitter = this.register(new EventEmitter<ClaimVerdict>());

  /** Fires for each claim that is read, in the order of the stream. */
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

  /** Whether the end of the stream has been reached once. */
  get isReady(): boolean {
    return this.caughtUp;
  }

  /** Follows the stream until disposed. */
  async run(): Promise<void> {
    while (!this.isDisposed) await this.step(this.caughtUp ? LONG_POLL_MS : 0);
  }

  /** Reads the next page without waiting for new records. */
  async readNow(): Promise<void> {
    await this.step(0);
  }

  /** Applies records with known offsets: those of a page, or one that this entry appended. */
  applyRecords(records: readonly LogRecord[]): void {
    records.forEach((record) => {
      this.table.apply(record).forEach((verdict) => this.verdictEmitter.fire(verdict));
    });
  }

  private async step(waitMs: number): Promise<void> {
    const page = await this.log.read({
      stream: CLAIMS_STREAM,
      fromOffset: this.table.nextOffset,
      maxRecords: PAGE_RECORDS,
      waitMs,
    });
    if (this.isDisposed) return;
    if (page.isErr()) {
      await this.handleReadFailure(page.error);
      return;
    }
    this.backoff.reset();
    this.applyPage(page.value);
  }

  private applyPage(page: LogPage): void {
    this.applyRecords(page.records);
    if (this.table.nextOffset >= page.endOffset) this.caughtUp = true;
  }

  private async handleReadFailure(failure: ReadFailure): Promise<void> {
    if (failure.kind === 'offset-expired') {
      this.table.skipTo(failure.firstOffset);
      return;
    }
    await this.clock.sleep(this.backoff.nextMs());
  }
}
