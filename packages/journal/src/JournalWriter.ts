/**
 * Group commit for the owner of the journal. At most one append is in flight; keys that change
 * meanwhile are collected for the next one. Each append names the offset that it expects, so the
 * claim of a new owner fences this writer. An append without an answer is repeated and, if it had an
 * effect, resolved by reading the log. A batch that the store has certainly not taken is dissolved,
 * so that its keys can still be withdrawn.
 */
import { type Clock, Disposable, EventEmitter } from '@acaciadock/core';
import { type Result } from 'neverthrow';
import { CallRepeater } from './CallRepeater.js';
import { type Commit, type CommitOutcome, createCommit } from './Commit.js';
import { CreatedKey } from './CreatedKey.js';
import {
  type KeyedRecord,
  type LogFailure,
  type RecordEncoder,
  type RecordLog,
} from './RecordLog.js';
import { type OwnedJournal } from './JournalClaim.js';

/** Delay before an append is retried, in milliseconds. */
const RETRY_DELAY_MS = 50;

/**
 * A batch takes no more records once it exceeds this size, well below the store's limit for one
 * call; the rest goes into the next append.
 */
const MAX_BATCH_BYTES = 1_000_000;

/** The records of one append, and what is needed to dissolve it. */
interface Batch {
  readonly records: readonly KeyedRecord[];
  readonly encoders: ReadonlyMap<string, RecordEncoder>;
  readonly bytes: number;
  /** Settled once the batch is; empty if records of the same commits follow in a later batch. */
  readonly commits: readonly Commit[];
}

/** A span without an acknowledged append. */
export interface AppendStall {
  readonly stalledMs: number;
  readonly failures: number;
  /** Number and size of the records in the append that succeeded. */
  readonly records: number;
  readonly bytes: number;
}

/** Times at which an attempt was sent, on both clocks. */
interface SendTime {
  readonly monotonicMs: number;
  readonly unixMs: number;
}

type SettledAppend = Exclude<CommitOutcome, 'withdrawn'>;

/** `rejected`: no attempt had an effect. */
type AppendOutcome = SettledAppend | 'rejected';

export class JournalWriter extends Disposable {
  private dirty = new Map<string, RecordEncoder>();

  private nextCommit = createCommit();

  /** Commits of dissolved batches; they settle together with `nextCommit`. */
  private dissolvedCommits: readonly Commit[] = [];

  private readonly repeater: CallRepeater;

  private isWriting = false;

  /** Offset of the next append. */
  private nextOffset: number;

  /** The batch whose append is under way. */
  private inFlight: Batch | undefined;

  /** Keys that were created and of which no write can be in the store yet. */
  private readonly created = new Map<string, CreatedKey>();

  private lost = false;

  private closing = false;

  private readonly lostEmitter = this.register(new EventEmitter<LogFailure>());

  /**
   * Fires once if the log does not end at the expected offset and this writer's records can't be
   * found there, normally because another owner has claimed the journal.
   */
  readonly onLost = this.lostEmitter.event;

  private readonly stalledEmitter = this.register(new EventEmitter<LogFailure>());

  /** Fires at the first failure of an append. */
  readonly onStalled = this.stalledEmitter.event;

  private readonly resumedEmitter = this.register(new EventEmitter<AppendStall>());

  /** Fires when an append has succeeded after failures. */
  readonly onResumed = this.resumedEmitter.event;

  /** Failures since the last acknowledged append. */
  private failures = 0;

  /** Whether the store has rejected the last attempt, so that nothing is in flight. */
  isRejected = false;

  /**
   * Monotonic time at which the last acknowledged append was sent. The acknowledgement proves the
   * ownership only as of then: a process that was paused may receive it much later.
   */
  lastDurableMs: number;

  /** Wall clock time at which the last acknowledged append was sent, Unix milliseconds. */
  lastDurableUnixMs: number;

  /** Monotonic time of the first attempt of the append in flight; undefined when idle. */
  private appendingSinceMs: number | undefined;

  /** Number of append calls, including repeated ones. */
  appendCount = 0;

  /** Size of the keys and values of all batches so far, including the batch in flight. */
  appendedBytes = 0;

  constructor(
    private readonly log: RecordLog,
    owned: OwnedJournal,
    private readonly clock: Clock,
  ) {
    super();
    this.repeater = new CallRepeater(clock);
    this.nextOffset = owned.nextOffset;
    this.lastDurableMs = clock.monotonicMs();
    this.lastDurableUnixMs = clock.unixMs();
  }

  /** Where the log ends once the append in flight, if any, has been executed. */
  get endOffset(): number {
    return this.nextOffset + (this.inFlight?.records.length ?? 0);
  }

  /** Time that the append in flight has waited for an acknowledgement, in milliseconds. */
  get stalledMs(): number {
    if (this.appendingSinceMs === undefined) return 0;
    return this.clock.monotonicMs() - this.appendingSinceMs;
  }

  /** Failed attempts since the last acknowledged append. */
  get failedAttempts(): number {
    return this.failures;
  }

  /** Time after which the answer to an append is overdue, in milliseconds. */
  get overdueMs(): number {
    return this.repeater.overdueMs;
  }

  /**
   * Adds the key to the next batch, and replaces an earlier write of the key that is not in a batch
   * yet. The promise resolves once the batch is durable, the ownership is lost or the key is withdrawn.
   */
  write(key: string, encode: RecordEncoder): Promise<CommitOutcome> {
    if (this.lost || this.closing || this.isDisposed) return Promise.resolve('ownership-lost');
    this.dirty.set(key, encode);
    const { promise } = this.nextCommit;
    this.scheduleRun();
    return this.created.get(key)?.outcomeOf(promise) ?? promise;
  }

  /**
   * Writes a key that the store does not have, or whose deletion still waits. The key can be withdrawn
   * until an append with it, or with a later write of it, may have had an effect.
   */
  create(key: string, encode: RecordEncoder): Promise<CommitOutcome> {
    this.created.set(key, new CreatedKey(this.dirty.get(key)));
    return this.write(key, encode);
  }

  /** Deletes the record of the key. Writes of a created key that are not durable yet settle as withdrawn. */
  delete(key: string): Promise<CommitOutcome> {
    this.created.get(key)?.withdraw();
    this.created.delete(key);
    return this.write(key, () => undefined);
  }

  /**
   * Writes what waits, with this record as the last one. Nothing is sent after it, so that the next
   * owner's claim finds the log where this writer left it.
   */
  close(key: string, encode: RecordEncoder): Promise<CommitOutcome> {
    const written = this.write(key, encode);
    this.closing = true;
    return written;
  }

  /** Whether the writer takes no more records. */
  get isClosing(): boolean {
    return this.closing;
  }

  /**
   * Cancels all writes of a created key, which settle as withdrawn, and restores the deletion that they
   * replaced. Returns false, without effect, if one of them may be in the store.
   */
  withdraw(key: string): boolean {
    const created = this.created.get(key);
    if (!created || this.inFlight?.encoders.has(key)) return false;
    this.created.delete(key);
    if (created.replaced) this.dirty.set(key, created.replaced);
    else this.dirty.delete(key);
    created.withdraw();
    return true;
  }

  override dispose(): void {
    this.lost = true;
    this.settleUnwritten();
    super.dispose();
  }

  private scheduleRun(): void {
    if (this.isWriting) return;
    this.isWriting = true;
    // All changes within one turn of the event loop share an append.
    setImmediate(() => {
      // A writer that has stopped must not keep the journal: another entry can then claim it.
      this.run().catch((cause: unknown) => {
        this.endOwnership({ kind: 'rejected', detail: String(cause) });
      });
    });
  }

  private async run(): Promise<void> {
    while (this.dirty.size > 0 && !this.lost) {
      const batch = this.takeBatch();
      this.inFlight = batch;
      const outcome = await this.appendUntilSettled(batch);
      this.inFlight = undefined;
      this.isRejected = outcome === 'rejected';
      if (outcome === 'rejected') {
        this.dissolve(batch);
        await this.clock.sleep(RETRY_DELAY_MS);
        continue;
      }
      batch.records.forEach(({ key }) => this.created.delete(key));
      batch.commits.forEach((commit) => commit.settle(outcome));
    }
    this.isWriting = false;
  }

  private takeBatch(): Batch {
    const records: KeyedRecord[] = [];
    const encoders = new Map<string, RecordEncoder>();
    let bytes = 0;
    for (const [key, encode] of this.dirty) {
      if (bytes > MAX_BATCH_BYTES) break;
      const value = encode();
      records.push({ key, value });
      encoders.set(key, encode);
      bytes += key.length + (value?.length ?? 0);
      this.dirty.delete(key);
    }
    this.appendedBytes += bytes;
    // Records that did not fit share the commits, which settle with the last batch.
    const commits = this.dirty.size === 0 ? this.takeCommits() : [];
    return { records, encoders, bytes, commits };
  }

  private takeCommits(): readonly Commit[] {
    const commits = [...this.dissolvedCommits, this.nextCommit];
    this.dissolvedCommits = [];
    this.nextCommit = createCommit();
    return commits;
  }

  /** Returns the records of a batch that had no effect to those that wait for an append. */
  private dissolve({ encoders, commits }: Batch): void {
    this.dirty = new Map([...encoders, ...this.dirty]);
    this.dissolvedCommits = [...this.dissolvedCommits, ...commits];
    if (this.lost) this.settleUnwritten();
  }

  private settleUnwritten(): void {
    this.takeCommits().forEach((commit) => commit.settle('ownership-lost'));
  }

  /** Repeats the append until its outcome is certain. */
  private async appendUntilSettled({ records, bytes }: Batch): Promise<AppendOutcome> {
    this.appendingSinceMs ??= this.clock.monotonicMs();
    const firstSent = this.sendTime();
    let mayHaveEffect = false;
    while (!this.lost) {
      const done = await this.repeater.call((signal) => this.attempt(records, signal), bytes);
      if (this.lost) return 'ownership-lost';
      if (done.isOk()) return this.advance(records.length, bytes, done.value);
      const { error } = done;
      this.recordFailure(error);
      if (error.kind === 'rejected' && !mayHaveEffect) return 'rejected';
      mayHaveEffect ||= error.kind === 'unknown-outcome';
      if (error.kind === 'offset-mismatch') {
        const isOwn = await this.hasOwnRecords(records);
        // Which attempt had the effect is unknown, so it may have been the first.
        if (isOwn === true) return this.advance(records.length, bytes, firstSent);
        if (isOwn === false) return this.endOwnership(error);
        mayHaveEffect = true;
      }
      await this.clock.sleep(RETRY_DELAY_MS);
    }
    return 'ownership-lost';
  }

  /** Sends an append; the result is the time at which it was sent. */
  private async attempt(
    records: readonly KeyedRecord[],
    signal: AbortSignal,
  ): Promise<Result<SendTime, LogFailure>> {
    this.appendCount += 1;
    const sent = this.sendTime();
    const done = await this.log.append(this.nextOffset, records, signal);
    return done.map(() => sent);
  }

  private sendTime(): SendTime {
    return { monotonicMs: this.clock.monotonicMs(), unixMs: this.clock.unixMs() };
  }

  private recordFailure(failure: LogFailure): void {
    this.failures += 1;
    if (this.failures === 1) this.stalledEmitter.fire(failure);
  }

  private advance(records: number, bytes: number, sent: SendTime): SettledAppend {
    if (this.failures > 0) {
      const { stalledMs, failures } = this;
      this.resumedEmitter.fire({ stalledMs, failures, records, bytes });
    }
    this.failures = 0;
    this.nextOffset += records;
    this.lastDurableMs = sent.monotonicMs;
    this.lastDurableUnixMs = sent.unixMs;
    this.appendingSinceMs = undefined;
    return 'durable';
  }

  private endOwnership(failure: LogFailure): SettledAppend {
    this.lost = true;
    this.settleUnwritten();
    this.lostEmitter.fire(failure);
    return 'ownership-lost';
  }

  /**
   * Whether the log has these records at the expected offset; undefined if the read failed and the
   * append has to be repeated. Also false if that offset has expired.
   */
  private async hasOwnRecords(records: readonly KeyedRecord[]): Promise<boolean | undefined> {
    const slice = await this.repeater.call((signal) =>
      this.log.readFrom(this.nextOffset, 0, signal),
    );
    if (slice.isErr()) return slice.error.kind === 'history-gone' ? false : undefined;
    return records.every((record, index) => {
      const stored = slice.value.records[index];
      if (!stored || stored.key !== record.key) return false;
      if (!record.value || !stored.value) return record.value === stored.value;
      return stored.value.equals(record.value);
    });
  }
}
