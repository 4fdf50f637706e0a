/**
 * Group commit for the owner of the journal. At most one append is in flight; keys that change
 * meanwhile are collected for the next one. Each append names the offset that it expects, so the
 * claim of a new owner fences this writer. An append without an answer is repeated and, if it had an
 * effect, resolved by reading the log. A batch that the store has certainly not taken is dissolved,
 * so that its keys can still be withdrawn. A record that the store does not take at all is set aside, and
 * the others go on without it.
 */
import { type Clock, Disposable, EventEmitter, type IDisposable } from '@acaciadock/core';
import { type Result } from 'neverthrow';
import { CallRepeater } from './CallRepeater.js';
import { type Commit, type CommitOutcome, createCommit } from './Commit.js';
import { CreatedKey } from './CreatedKey.js';
import { FittingRecord } from './FittingRecord.js';
import { type OwnedJournal } from './JournalClaim.js';
import { ENCODE_LATER, type RecordEncoder } from './RecordEncoder.js';
import { type LogFailure, type RecordLog } from './RecordLog.js';
import { SetAsideRecords } from './SetAsideRecords.js';

/** Delay before an append is retried, in milliseconds. */
const RETRY_DELAY_MS = 50;

/**
 * A batch takes no more records once it exceeds this size, well below the store's limit for one
 * call; the rest goes into the next append.
 */
const MAX_BATCH_BYTES = 1_000_000;

/** Bytes of a call for each record beside the record itself. */
const FRAMING_BYTES = 4;

/** The records of one append, and what is needed to dissolve it. */
interface Batch {
  readonly records: readonly FittingRecord[];
  readonly encoders: ReadonlyMap<string, RecordEncoder>;
  readonly bytes: number;
  /** Settled once the batch is; empty if records of the same commits follow in a later batch. */
  readonly commits: readonly Commit[];
  /** Whether its record is one that was set aside. */
  readonly isRetry: boolean;
}

/** A record that the store does not take. */
export interface SetAsideNotice {
  readonly key: string;
  readonly bytes: number;
  readonly detail: string;
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

/** `rejected`: no attempt had an effect. `invalid`: none of these records has an effect in this batch, ever. */
type AppendOutcome = SettledAppend | 'rejected' | 'invalid';

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

  private readonly setAside: SetAsideRecords;

  private setAsideTimer: IDisposable | undefined;

  /** Records that the next batch may have at most; lowered to find the one that makes a batch invalid. */
  private maxRecords = Infinity;

  private isEncoding = false;

  /** The key that comes after all others, once the writer is closing. */
  private lastKey: string | undefined;

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

  private readonly setAsideEmitter = this.register(new EventEmitter<SetAsideNotice>());

  /** Fires at each attempt to write a record that the store does not take. */
  readonly onSetAside = this.setAsideEmitter.event;

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
    this.setAside = new SetAsideRecords(clock);
    this.register({ dispose: () => this.setAsideTimer?.dispose() });
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
   * yet. The promise resolves once the batch is durable, the ownership is lost or the key is withdrawn. The
   * write of a record that the store does not take waits until it takes a later one of the key.
   */
  write(key: string, encode: RecordEncoder): Promise<CommitOutcome> {
    const isClosed = this.closing && !this.isEncoding;
    if (this.lost || isClosed || this.isDisposed) return Promise.resolve('ownership-lost');
    const refused = this.setAside.replaceRefused(key, encode);
    if (refused) return refused;
    this.dirty.set(key, encode);
    const promise = this.nextCommit.promise.then(
      (outcome) => (outcome === 'durable' && this.setAside.outcomeOf(key)) || outcome,
    );
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
    this.setAside.settle(key, 'withdrawn');
    return this.write(key, () => undefined);
  }

  /**
   * Writes what waits, with this record as the last one. Nothing is sent after it, so that the next
   * owner's claim finds the log where this writer left it.
   */
  close(key: string, encode: RecordEncoder): Promise<CommitOutcome> {
    const written = this.write(key, encode);
    this.lastKey = key;
    this.closing = true;
    return written;
  }

  /** Whether the store does not take the record of the key, as of the last attempt. */
  isSetAside(key: string): boolean {
    return this.setAside.outcomeOf(key) !== undefined;
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
    this.setAside.settle(key, 'withdrawn');
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
    while (!this.lost) {
      const batch = this.takeSetAside() ?? this.takeBatch();
      if (!batch) break;
      this.inFlight = batch;
      const outcome = batch.records.length > 0 ? await this.appendUntilSettled(batch) : 'durable';
      this.inFlight = undefined;
      this.isRejected = outcome === 'rejected';
      if (outcome === 'invalid') this.isolate(batch);
      else if (outcome === 'rejected') {
        this.dissolve(batch);
        await this.clock.sleep(RETRY_DELAY_MS);
      } else this.settle(batch, outcome);
    }
    this.isWriting = false;
    this.scheduleSetAside();
  }

  private takeBatch(): Batch | undefined {
    if (this.dirty.size === 0) return undefined;
    const records: FittingRecord[] = [];
    const encoders = new Map<string, RecordEncoder>();
    let bytes = 0;
    for (const [key, encode] of this.dirty) {
      if (bytes > MAX_BATCH_BYTES || records.length >= this.maxRecords) break;
      const isTooEarly = key === this.lastKey && this.dirty.size > 1;
      this.dirty.delete(key);
      const record = isTooEarly ? undefined : this.encodeRecord(key, encode);
      // A key that is set again is visited again, after those that were written meanwhile.
      if (!record) this.dirty.set(key, encode);
      else if (record.isErr()) this.putAside(key, encode, record.error.bytes);
      else {
        records.push(record.value);
        encoders.set(key, encode);
        bytes += record.value.bytes + FRAMING_BYTES;
      }
    }
    this.appendedBytes += bytes;
    // Records that did not fit share the commits, which settle with the last batch.
    const commits = this.dirty.size === 0 ? this.takeCommits() : [];
    return { records, encoders, bytes, commits, isRetry: false };
  }

  /** Encodes a record; undefined if it is to follow records that were written just now. */
  private encodeRecord(
    key: string,
    encode: RecordEncoder,
  ): ReturnType<typeof FittingRecord.of> | undefined {
    this.isEncoding = true;
    const value = encode();
    this.isEncoding = false;
    return value === ENCODE_LATER ? undefined : FittingRecord.of(key, value);
  }

  /** A batch with one record that was set aside, if an attempt is due. */
  private takeSetAside(): Batch | undefined {
    const [key, encode] = this.setAside.takeDue() ?? [];
    if (key === undefined || !encode || this.dirty.has(key)) return undefined;
    const record = this.encodeRecord(key, encode);
    if (!record) this.dirty.set(key, encode);
    if (record?.isErr()) this.putAside(key, encode, record.error.bytes);
    if (!record?.isOk()) return undefined;
    const { value } = record;
    const encoders = new Map([[key, encode]]);
    return { records: [value], encoders, bytes: value.bytes, commits: [], isRetry: true };
  }

  private putAside(key: string, encode: RecordEncoder, bytes: number, refusal?: string): void {
    this.setAside.add(key, encode, refusal !== undefined);
    this.setAsideEmitter.fire({ key, bytes, detail: refusal ?? 'record too large' });
  }

  /** Tries the records that were set aside again, even if nothing else is written. */
  private scheduleSetAside(): void {
    if (this.setAside.size === 0 || this.lost) return;
    this.setAsideTimer?.dispose();
    this.setAsideTimer = this.clock.after(this.setAside.waitMs, () => this.scheduleRun());
  }

  /** Finds the record that makes a batch invalid, by halves, and sets it aside. */
  private isolate(batch: Batch): void {
    const [record] = batch.records;
    const encode = record && batch.encoders.get(record.key);
    if (batch.records.length > 1 || !record || !encode) {
      this.maxRecords = Math.floor(batch.records.length / 2);
      this.dissolve(batch);
      return;
    }
    this.putAside(record.key, encode, record.bytes, 'refused by the store');
    batch.commits.forEach((commit) => commit.settle('durable'));
  }

  private settle({ records, commits }: Batch, outcome: SettledAppend): void {
    this.maxRecords *= 2;
    records.forEach(({ key }) => {
      this.created.delete(key);
      this.setAside.settle(key, outcome);
    });
    commits.forEach((commit) => commit.settle(outcome));
  }

  private takeCommits(): readonly Commit[] {
    const commits = [...this.dissolvedCommits, this.nextCommit];
    this.dissolvedCommits = [];
    this.nextCommit = createCommit();
    return commits;
  }

  /** Returns the records of a batch that had no effect to those that wait for an append. */
  private dissolve({ encoders, commits, isRetry }: Batch): void {
    if (isRetry) return;
    this.dirty = new Map([...encoders, ...this.dirty]);
    this.dissolvedCommits = [...this.dissolvedCommits, ...commits];
    if (this.lost) this.settleUnwritten();
  }

  private settleUnwritten(): void {
    this.takeCommits().forEach((commit) => commit.settle('ownership-lost'));
    this.setAside.settleAll('ownership-lost');
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
      // An earlier attempt had the same records. If it has an effect all the same, the next append finds it.
      if (error.kind === 'invalid') return 'invalid';
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
    records: readonly FittingRecord[],
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
  private async hasOwnRecords(records: readonly FittingRecord[]): Promise<boolean | undefined> {
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
