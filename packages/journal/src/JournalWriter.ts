/**
 * Group commit for the owner of the journal. One append is under way at a time; what changes
 * meanwhile is collected and travels with the next. Each append names the offset it expects, so
 * a successor's claim fences this writer. An append without an answer is settled by reading.
 */
import { type Clock, Disposable, EventEmitter } from '@acaciadock/core';
import { type KeyedRecord, type LogFailure, type RecordLog } from './RecordLog.js';
import { type OwnedJournal } from './JournalClaim.js';

const RETRY_MS = 50;

/** Well under the store's limit for one call; the rest goes with the next append. */
const MOST_BATCH_BYTES = 1_000_000;

export type CommitOutcome = 'durable' | 'ownership-lost';

/** Produces the value when its batch is formed, so that it is the newest state. */
export type RecordEncoder = () => Buffer | undefined;

interface Commit {
  readonly promise: Promise<CommitOutcome>;
  readonly settle: (outcome: CommitOutcome) => void;
}

function newCommit(): Commit {
  let settle: (outcome: CommitOutcome) => void = () => undefined;
  const promise = new Promise<CommitOutcome>((resolve) => {
    settle = resolve;
  });
  return { promise, settle };
}

export class JournalWriter extends Disposable {
  private readonly dirty = new Map<string, RecordEncoder>();

  private nextCommit = newCommit();

  private writing = false;

  private nextOffset: number;

  private lost = false;

  private readonly lostEmitter = this.register(new EventEmitter<LogFailure>());

  /** Fires once when another owner has taken the journal. */
  readonly onLost = this.lostEmitter.event;

  /** Monotonic time of the last acknowledged append. */
  lastDurableMs: number;

  /** The same moment on the wall clock. */
  lastDurableUnixMs: number;

  /** Monotonic time since which the append under way has been tried; undefined when idle. */
  private appendingSinceMs: number | undefined;

  appendCount = 0;

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

  /** How long the append under way has waited for an acknowledgement, in milliseconds. */
  get stalledMs(): number {
    if (this.appendingSinceMs === undefined) return 0;
    return this.clock.monotonicMs() - this.appendingSinceMs;
  }

  /** Writes the key with the next batch. The promise settles when that batch has. */
  write(key: string, encode: RecordEncoder): Promise<CommitOutcome> {
    if (this.lost || this.isDisposed) return Promise.resolve('ownership-lost');
    this.dirty.set(key, encode);
    const { promise } = this.nextCommit;
    this.kick();
    return promise;
  }

  /** Takes back a key that no batch has taken up yet; false if it is too late. */
  withdraw(key: string): boolean {
    return this.dirty.delete(key);
  }

  override dispose(): void {
    this.lost = true;
    this.nextCommit.settle('ownership-lost');
    super.dispose();
  }

  private kick(): void {
    if (this.writing) return;
    this.writing = true;
    // Everything that one turn of the event loop changes shares an append.
    setImmediate(() => {
      void this.run();
    });
  }

  private async run(): Promise<void> {
    while (this.dirty.size > 0 && !this.lost) {
      const commit = this.nextCommit;
      const records = this.takeBatch();
      if (this.dirty.size === 0) this.nextCommit = newCommit();
      const durable = await this.appendForCertain(records);
      if (!durable) {
        commit.settle('ownership-lost');
        break;
      }
      // A batch that was cut short settles with its last part.
      if (commit !== this.nextCommit) commit.settle('durable');
    }
    this.writing = false;
  }

  private takeBatch(): KeyedRecord[] {
    const records: KeyedRecord[] = [];
    let bytes = 0;
    for (const [key, encode] of this.dirty) {
      if (bytes > MOST_BATCH_BYTES) break;
      const value = encode();
      records.push({ key, value });
      bytes += key.length + (value?.length ?? 0);
      this.dirty.delete(key);
    }
    this.appendedBytes += bytes;
    return records;
  }

  private async appendForCertain(records: readonly KeyedRecord[]): Promise<boolean> {
    this.appendingSinceMs = this.clock.monotonicMs();
    while (!this.lost) {
      this.appendCount += 1;
      const done = await this.log.append(this.nextOffset, records);
      if (this.lost) return false;
      if (done.isOk()) return this.advance(records.length);
      if (done.error.kind === 'offset-mismatch') {
        const ours = await this.isOurs(records);
        if (ours === true) return this.advance(records.length);
        if (ours === false) return this.lose(done.error);
      }
      await this.clock.sleep(RETRY_MS);
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

  private lose(failure: LogFailure): boolean {
    this.lost = true;
    this.nextCommit.settle('ownership-lost');
    this.lostEmitter.fire(failure);
    return false;
  }

  /** Whether the records at the expected offset are these; undefined if that can't be told yet. */
  private async isOurs(records: readonly KeyedRecord[]): Promise<boolean | undefined> {
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
