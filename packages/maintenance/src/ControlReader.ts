/** Reads the control stream and keeps the maintenance state that its records reduce to. */
import { Backoff, type Clock, Disposable, EventEmitter, type Random } from '@acaciadock/core';
import {
  CONTROL_STREAM,
  type LogPage,
  type LogService,
  type ReadFailure,
} from '@acaciadock/platform';
import { MaintenanceReducer, type MaintenanceVerdict } from './MaintenanceReducer.js';
import { type MaintenanceState } from './MaintenanceState.js';

const PAGE_RECORDS = 1_000;
const READ_WAIT_MS = 2_000;
const RETRY = { firstMs: 50, maxMs: 1_000 };

export interface ReadControlRecord {
  readonly offset: number;
  readonly verdict: MaintenanceVerdict;
}

export class ControlReader extends Disposable {
  private readonly reducer = new MaintenanceReducer();

  private readonly recordEmitter = this.register(new EventEmitter<ReadControlRecord>());

  /** Fires for each maintenance record with its verdict, which is the same at every reader. */
  readonly onRecord = this.recordEmitter.event;

  private readonly backoff: Backoff;

  private nextOffset = 0;

  private caughtUp = false;

  constructor(
    private readonly log: LogService,
    private readonly clock: Clock,
    random: Random,
  ) {
    super();
    this.backoff = new Backoff(RETRY, random);
  }

  get state(): MaintenanceState {
    return this.reducer.state;
  }

  /** Offset of the last record read; -1 before the first. */
  get lastOffset(): number {
    return this.nextOffset - 1;
  }

  /** Whether the end of the stream was reached, so that decisions can be based on the state. */
  get isCaughtUp(): boolean {
    return this.caughtUp && this.reducer.isComplete;
  }

  /** Reads until disposed. */
  async run(): Promise<void> {
    while (!this.isDisposed) {
      const page = await this.log.read({
        stream: CONTROL_STREAM,
        fromOffset: this.nextOffset,
        maxRecords: PAGE_RECORDS,
        waitMs: this.caughtUp ? READ_WAIT_MS : 0,
      });
      if (this.isDisposed) return;
      if (page.isOk()) this.applyPage(page.value);
      else await this.recover(page.error);
    }
  }

  private applyPage(page: LogPage): void {
    this.backoff.reset();
    page.records.forEach((record) => {
      if (record.offset === 0) this.reducer.markComplete();
      const verdict = this.reducer.reduce(record);
      if (verdict.kind !== 'foreign') this.recordEmitter.fire({ offset: record.offset, verdict });
    });
    this.nextOffset = page.nextOffset;
    if (page.nextOffset < page.endOffset) return;
    this.caughtUp = true;
    this.reducer.markComplete();
  }

  private async recover(failure: ReadFailure): Promise<void> {
    if (failure.kind === 'offset-expired') {
      this.nextOffset = failure.firstOffset;
      this.caughtUp = false;
      this.reducer.reset();
      return;
    }
    await this.clock.sleep(this.backoff.nextMs());
  }
}
