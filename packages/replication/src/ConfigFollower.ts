/**
 * The task that reads the configuration stream and holds the version in force at this entry.
 */
import { Backoff, type Clock, Disposable, EventEmitter, type Random } from '@acaciadock/core';
import {
  type ConfigDocument,
  ConfigReducer,
  type ConfigState,
  type ConfigView,
  EMPTY_DOCUMENT,
  type RecordVerdict,
} from '@acaciadock/config';
import {
  CONFIG_STREAM,
  type LogPage,
  type LogRecord,
  type LogService,
  type ReadFailure,
} from '@acaciadock/platform';

const PAGE_RECORDS = 1_000;
const READ_WAIT_MS = 2_000;
const RETRY = { firstMs: 50, mostMs: 1_000 };

export interface ReducedRecord {
  readonly offset: number;
  readonly verdict: RecordVerdict;
  readonly state: ConfigState;
}

export class ConfigFollower extends Disposable implements ConfigView {
  private readonly reducer: ConfigReducer;

  private readonly backoff: Backoff;

  private readonly changeEmitter = this.register(new EventEmitter<ConfigState>());

  readonly onChange = this.changeEmitter.event;

  private readonly recordEmitter = this.register(new EventEmitter<ReducedRecord>());

  /** Fires for every record read, with the verdict that all readers give alike. */
  readonly onRecord = this.recordEmitter.event;

  private reachable = false;

  private caughtUp = false;

  private nextOffset = 0;

  constructor(
    private readonly log: LogService,
    private readonly clock: Clock,
    random: Random,
    initial: ConfigDocument = EMPTY_DOCUMENT,
  ) {
    super();
    this.reducer = new ConfigReducer(initial);
    this.backoff = new Backoff(RETRY, random);
  }

  /** Whether the last read of the log was answered. */
  get logReachable(): boolean {
    return this.reachable;
  }

  /** Whether the end of the log has been read at least once since the start. */
  get isCaughtUp(): boolean {
    return this.caughtUp;
  }

  state(): ConfigState {
    return this.reducer.state;
  }

  /** Reads until disposed. */
  async run(): Promise<void> {
    while (!this.isDisposed) {
      const page = await this.log.read({
        stream: CONFIG_STREAM,
        fromOffset: this.nextOffset,
        mostRecords: PAGE_RECORDS,
        waitMs: this.caughtUp ? READ_WAIT_MS : 0,
      });
      if (this.isDisposed) return;
      if (page.isOk()) this.accept(page.value);
      else await this.recover(page.error);
    }
  }

  private accept(page: LogPage): void {
    this.reachable = true;
    this.backoff.reset();
    page.records.forEach((record) => this.reduce(record));
    this.nextOffset = page.nextOffset;
    if (page.nextOffset >= page.endOffset) this.caughtUp = true;
  }

  private reduce(record: LogRecord): void {
    const before = this.reducer.state.version;
    const verdict = this.reducer.reduce(record.offset, record.payload);
    const { state } = this.reducer;
    if (state.version > before) this.changeEmitter.fire(state);
    this.recordEmitter.fire({ offset: record.offset, verdict, state });
  }

  private async recover(failure: ReadFailure): Promise<void> {
    if (failure.kind === 'offset-expired') {
      this.nextOffset = failure.firstOffset;
      return;
    }
    this.reachable = false;
    await this.clock.sleep(this.backoff.nextMs());
  }
}
