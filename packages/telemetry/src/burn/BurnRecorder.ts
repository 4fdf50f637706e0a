/**
 * Summarises this entry's request outcomes once a minute, appends the summaries to the log, and
 * merges the summaries of all entries into the history. A starting entry reads all records that the
 * log still retains, so the report survives the replacement of every entry. While the log is
 * unavailable, a bounded number of summaries is kept, and the oldest ones are dropped first.
 */
import {
  type Clock,
  Disposable,
  type EntryId,
  type OutcomeRecorder,
  type Random,
  type RequestOutcome,
} from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import { BURN_STREAM, type LogService } from '@acaciadock/platform';
import { BurnHistory, MINUTE_MS } from './BurnHistory.js';
import { type BurnSummary, burnSummarySchema } from './BurnSummary.js';
import { classifyOutcome } from './classifyOutcome.js';
import { MinuteTally } from './MinuteTally.js';

const MAX_PENDING_SUMMARIES = 180;
const RECORDS_PER_PAGE = 500;
const READ_PERIOD_MS = 5_000;

export interface BurnRecorderOptions {
  readonly entryId: EntryId;
  readonly incarnation: string;
}

export class BurnRecorder extends Disposable implements OutcomeRecorder {
  readonly history = new BurnHistory();

  private tally = new MinuteTally();

  private pending: BurnSummary[] = [];

  private nextSequence = 0;

  private nextOffset = 0;

  private appending = false;

  private reading = false;

  private dropped = 0;

  constructor(
    private readonly options: BurnRecorderOptions,
    private readonly config: ConfigView,
    private readonly log: LogService,
    private readonly clock: Clock,
    random: Random,
  ) {
    super();
    // The random offset spreads the appends of all entries over the minute, to avoid load peaks.
    this.register(
      clock.after(random.next() * MINUTE_MS, () => {
        this.closeMinute();
        this.register(clock.every(MINUTE_MS, () => this.closeMinute()));
      }),
    );
    this.register(
      clock.every(READ_PERIOD_MS, () => {
        void this.read();
      }),
    );
  }

  /** Number of summaries dropped because the log was unavailable for too long. */
  get droppedSummaries(): number {
    return this.dropped;
  }

  record(outcome: RequestOutcome): void {
    const service = this.config.state().document.services[outcome.serviceId];
    if (!service) return;
    this.tally.add(outcome, classifyOutcome(outcome, service.latencyObjectiveMs));
  }

  /** Summarises the outcomes recorded since the previous summary and appends the summary. */
  closeMinute(): void {
    if (!this.tally.isEmpty) this.pending.push(this.summarise());
    while (this.pending.length > MAX_PENDING_SUMMARIES) {
      this.pending.shift();
      this.dropped += 1;
    }
    void this.append();
  }

  /**
   * Appends a summary immediately, waits for the append to succeed or fail, and reads the stream.
   * Also called during a graceful stop.
   */
  async flush(): Promise<void> {
    this.closeMinute();
    while (this.appending) await this.clock.sleep(1);
    await this.read();
  }

  /** Reads and merges the new records of the burn stream. */
  async read(): Promise<void> {
    if (this.reading || this.isDisposed) return;
    this.reading = true;
    while (await this.readPage()) {
      if (this.isDisposed) break;
    }
    this.reading = false;
  }

  private summarise(): BurnSummary {
    const { entryId, incarnation } = this.options;
    const nowMs = this.clock.unixMs();
    const summary: BurnSummary = {
      kind: 'burn-summary',
      schemaVersion: 1,
      entryId,
      incarnation,
      sequence: this.nextSequence,
      minuteStartMs: nowMs - (nowMs % MINUTE_MS),
      ...this.tally.summary(),
    };
    this.nextSequence += 1;
    this.tally = new MinuteTally();
    return summary;
  }

  private async append(): Promise<void> {
    if (this.appending || this.pending.length === 0) return;
    this.appending = true;
    const batch = [...this.pending];
    const appended = await this.log.append(BURN_STREAM, batch);
    // If the outcome is unknown, the batch is sent again: readers drop the duplicates.
    if (appended.isOk()) this.pending = this.pending.filter((summary) => !batch.includes(summary));
    this.appending = false;
  }

  /** Reads one page. Returns true if there is more to read. */
  private async readPage(): Promise<boolean> {
    const page = await this.log.read({
      stream: BURN_STREAM,
      fromOffset: this.nextOffset,
      maxRecords: RECORDS_PER_PAGE,
      waitMs: 0,
    });
    if (page.isErr()) {
      if (page.error.kind !== 'offset-expired') return false;
      this.nextOffset = page.error.firstOffset;
      return true;
    }
    page.value.records.forEach(({ payload }) => {
      const summary = burnSummarySchema.safeParse(payload);
      if (summary.success) this.history.add(summary.data);
    });
    this.nextOffset = page.value.nextOffset;
    return page.value.nextOffset < page.value.endOffset;
  }
}
