/**
 * Group commit for the owner of the journal. At most one append is in flight; keys that change
 * meanwhile are collected for the next one. Each append names the offset that it expects, so the
 * claim of a new owner fences this writer. An append without an answer is resolved by reading the
 * log.
 */
import { type Clock, Disposable, EventEmitter } from '@acaciadock/core';
import { type KeyedRecord, type LogFailure, type RecordLog } from './RecordLog.js';
import { type OwnedJournal } from './JournalClaim.js';

/** Delay before an append is retried, in milliseconds. */
const RETRY_DELAY_MS = 50;

/**
 * A batch takes no more records once it exceeds this size, well below the store's limit for one
 * call; the rest goes into the next append.
 */
const MAX_BATCH_BYTES = 1_000_000;

export type CommitOutcome = 'durable' | 'ownership-lost';

/** Encodes the value when its batch is formed, so that the newest state is written. */
export type RecordEncoder = () => Buffer | undefined;

interface Commit {
  readonly promise: Promise<CommitOutcome>;
  readonly settle: (outcome: CommitOutcome) => void;
}

function createCommit(): Commit {
  let settle: (outcome: CommitOutcome) => void = () => undefined;
  const promise = new Promise<CommitOutcome>((resolve) => {
    settle = resolve;
  });
  return { promise, settle };
}

export class JournalWriter extends Disposable {
  private readonly dirty = new Map<string, RecordEncoder>();

  private nextCommit = createCommit();

  private isWriting = false;

  private nextOffset: number;

  private lost = false;

  private readonly lostEmitter = this.register(new EventEmitter<LogFailure>());

  /**
   * Fires once if the log does not end at the expected offset and this writer's records can't be
   * found there, normally because another owner has claimed the journal.
   */
  readonly onLost = this.lostEmitter.event;

  /** Monotonic time of the last acknowledged append. */
  lastDurableMs: number;

  /** Wall clock time of the last acknowledged append, Unix milliseconds. */
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
    this.nextOffset = owned.nextOffset;
    this.lastDurableMs = clock.monotonicMs();
    this.lastDurableUnixMs = clock.unixMs();
  }

  /** Time that the append in flight has waited for an acknowledgement, in milliseconds. */
  get stalledMs(): number {
    if (this.appendingSinceMs === undefined) return 0;
    return this.clock.monotonicMs() - this.appendingSinceMs;
  }

  /**
   * Adds the key to the next batch, and replaces an earlier write of the key that is not in a batch
   * yet. The promise resolves once the batch is durable or the ownership is lost.
   */
  write(key: string, encode: RecordEncoder): Promise<CommitOutcome> {
    if (this.lost || this.isDisposed) return Promise.resolve('ownership-lost');
    this.dirty.set(key, encode);
    const { promise } = this.nextCommit;
    this.scheduleRun();
    return promise;
  }

  /** Cancels the write of a key that is not in a batch yet; returns false if it is too late. */
  withdraw(key: string): boolean {
    return this.dirty.delete(key);
  }

  override dispose(): void {
    this.lost = true;
    this.nextCommit.settle('ownership-lost');
    super.dispose();
  }

  private scheduleRun(): void {
    if (this.isWriting) return;
    this.isWriting = true;
    // All changes within one turn of the event loop share an append.
    setImmediate(() => {
      void this.run();
    });
  }

  private async run(): Promise<void> {
    while (this.dirty.size > 0 && !this.lost) {
      const commit = this.nextCommit;
      const records = this.takeBatch();
      if (this.dirty.size === 0) this.nextCommit = createCommit();
      const durable = await this.appendUntilSettled(records);
      if (!durable) {
        commit.settle('ownership-lost');
        break;
      }
      // Records that did not fit into the batch share its commit, which settles with the last one.
      if (commit !== this.nextCommit) commit.settle('durable');
    }
    this.isWriting = false;
  }

  private takeBatch(): KeyedRecord[] {
    const records: KeyedRecord[] = [];
    let bytes = 0;
    for (const [key, encode] of this.dirty) {
      if (bytes > MAX_BATCH_BYTES) break;
      const value = encode();
      records.push({ key, value });
      bytes += key.length + (value?.length ?? 0);
      this.dirty.delete(key);
    }
    this.appendedBytes += bytes;
    return records;
  }

  private async appendUntilSettled(records: readonly KeyedRecord[]): Promise<boolean> {
    this.appendingSinceMs = this.clock.monotonicMs();
    while (!this.lost) {
      this.appendCount += 1;
      const done = await this.log.append(this.nextOffset, records);
      if (this.lost) return false;
      if (done.isOk()) return this.advance(records.length);
      if (done.error.kind === 'offset-mismatch') {
        const isOwn = await this.hasOwnRecords(records);
        if (isOwn === true) return this.advance(records.length);
        if (isOwn === false) return this.endOwnership(done.error);
      }
      await this.clock.sleep(RETRY_DELAY_MS);
    }
    return false;
  }

  private advance(count: number): boolean {
    this.nextOffset += count;
    this.lastDurableMs = this.clock.monotonicMs();
    this.lastDurableUnixMs = this.clock.unixMs();
    this.appendingSinceMs = undefined;
    return true;
  }

  private endOwnership(failure: LogFailure): boolean {
    this.lost = true;
    this.nextCommit.settle('ownership-lost');
    this.lostEmitter.fire(failure);
    return false;
  }

  /**
   * Whether the log has these records at the expected offset; undefined if the read failed and the
   * append has to be repeated. Also false if that offset has expired.
   */
  private async hasOwnRecords(records: readonly KeyedRecord[]): Promise<boolean | undefined> {
    const slice = await this.log.readFrom(this.nextOffset, 0);
    if (slice.isErr()) return slice.error.kind === 'history-gone' ? false : undefined;
    return records.every((record, index) => {
      const stored = slice.value.records[index];
      if (!stored || stored.key !== record.key) return false;
      if (!record.value || !stored.value) return record.value === stored.value;
      return stored.value.equals(record.value);
    });
  }
}
