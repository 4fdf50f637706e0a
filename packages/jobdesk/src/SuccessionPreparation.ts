/**
 * Prepares this entry to claim the journal, at the request of an owner that is about to release it:
 * reads the journal and follows it until the claim. If none comes, what was read is dropped.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import {
  JournalCopy,
  type Preparation,
  type RecordLog,
  type StoredRecord,
} from '@acaciadock/journal';

/** Interval at which a copy of the journal follows it, in milliseconds. */
const FOLLOW_PERIOD_MS = 100;

/** A copy is dropped this long after the owner last asked, in milliseconds. */
const KEEP_MS = 3_000;

export interface SuccessionPreparationDeps {
  readonly log: RecordLog;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Prepares what else can be done before the claim, until the signal is aborted. */
  readonly prepare?: (
    records: readonly StoredRecord[],
    ownerEpoch: number,
    signal: AbortSignal,
  ) => Promise<void>;
}

export class SuccessionPreparation extends Disposable {
  /** Epoch of the owner that asked last. */
  private epoch: number | undefined;

  private state: Preparation = 'pending';

  private askedMs = -Infinity;

  private copy: JournalCopy | undefined;

  /** Ends the work for the current epoch. */
  private abort = new AbortController();

  constructor(private readonly deps: SuccessionPreparationDeps) {
    super();
    this.register({ dispose: () => this.drop() });
  }

  /** Prepares for the release of this epoch; returns how far that has come. */
  request(epoch: number): Preparation {
    // An entry that stops is none to claim; its membership ends soon.
    if (this.isDisposed) return 'pending';
    this.askedMs = this.deps.clock.monotonicMs();
    if (epoch !== this.epoch) {
      this.drop();
      this.epoch = epoch;
      void this.prepare(epoch, this.abort.signal);
    }
    return this.state;
  }

  /** Hands over the copy to a claim, if there is one; it isn't followed any more. */
  take(): JournalCopy | undefined {
    const { copy } = this;
    this.drop();
    return copy;
  }

  private drop(): void {
    this.abort.abort();
    this.abort = new AbortController();
    this.epoch = undefined;
    this.copy = undefined;
    this.state = 'pending';
  }

  private async prepare(epoch: number, signal: AbortSignal): Promise<void> {
    const { log, clock, logger } = this.deps;
    const startedMs = clock.monotonicMs();
    const loaded = await JournalCopy.load(log, clock, signal);
    if (signal.aborted) return;
    if (loaded.isErr()) {
      this.fail(loaded.error.kind);
      return;
    }
    const copy = loaded.value;
    this.copy = copy;
    const following = this.follow(copy, signal);
    await this.deps.prepare?.(copy.records, epoch, signal);
    if (signal.aborted || this.copy !== copy) return;
    this.state = 'ready';
    const tookMs = Math.round(clock.monotonicMs() - startedMs);
    logger.info('succession-prepared', { epoch, records: copy.records.length, tookMs });
    await following;
  }

  private async follow(copy: JournalCopy, signal: AbortSignal): Promise<void> {
    const { clock } = this.deps;
    while (!signal.aborted) {
      await clock.sleep(FOLLOW_PERIOD_MS);
      if (signal.aborted) return;
      if (clock.monotonicMs() - this.askedMs > KEEP_MS) {
        this.drop();
        return;
      }
      const done = await copy.follow();
      if (signal.aborted) return;
      if (done.isErr() && done.error.kind === 'history-gone') {
        this.fail(done.error.kind);
        return;
      }
    }
  }

  private fail(reason: string): void {
    this.deps.logger.warn('succession-unprepared', { epoch: this.epoch, reason });
    this.copy = undefined;
    this.state = 'failed';
  }
}
