/**
 * The newest records of the journal, read by an entry that may claim it soon and kept up to date, so
 * that the claim needs only the records since. The records of the first read are no snapshot: the copy
 * is consistent once it has followed the log to where that read ended, and so is a copy that reaches
 * its own claim.
 */
import { type Clock } from '@acaciadock/core';
import { err, ok, type Result } from 'neverthrow';
import { CallRepeater } from './CallRepeater.js';
import { type LogFailure, type RecordLog, type StoredRecord } from './RecordLog.js';

export class JournalCopy {
  private readonly byKey = new Map<string, StoredRecord>();

  private readonly repeater: CallRepeater;

  private followedTo: number;

  private constructor(
    private readonly log: RecordLog,
    clock: Clock,
    records: readonly StoredRecord[],
    followFrom: number,
  ) {
    this.repeater = new CallRepeater(clock);
    this.followedTo = followFrom;
    records.forEach((record) => this.apply(record));
  }

  /** Reads the newest records, and then what was appended meanwhile. */
  static async load(
    log: RecordLog,
    clock: Clock,
    signal: AbortSignal,
  ): Promise<Result<JournalCopy, LogFailure>> {
    const newest = await log.readNewest(signal);
    if (newest.isErr()) return err(newest.error);
    const { records, followFrom } = newest.value;
    const copy = new JournalCopy(log, clock, records, followFrom);
    return (await copy.follow()).map(() => copy);
  }

  /** The offset of the first record that the copy lacks. */
  get nextOffset(): number {
    return this.followedTo;
  }

  get records(): readonly StoredRecord[] {
    return [...this.byKey.values()];
  }

  /** Reads records that were appended since; a copy that fails with `history-gone` is of no use. */
  async follow(): Promise<Result<void, LogFailure>> {
    const from = this.followedTo;
    const slice = await this.repeater.call((signal) => this.log.readFrom(from, 0, signal));
    if (slice.isErr()) return err(slice.error);
    const { records } = slice.value;
    if (records.some(({ offset }, index) => offset !== from + index))
      return err({ kind: 'history-gone' });
    // Another read may have applied some of them.
    records
      .filter(({ offset }) => offset >= this.followedTo)
      .forEach((record) => this.apply(record));
    this.followedTo = Math.max(this.followedTo, slice.value.nextOffset);
    return ok(undefined);
  }

  /** Follows the log up to `offset`; false if that part of it can't be read. */
  async followTo(offset: number, isWanted: () => boolean): Promise<boolean> {
    while (this.followedTo < offset && isWanted()) {
      const from = this.followedTo;
      const done = await this.follow();
      if (done.isErr() || this.followedTo === from) return false;
    }
    return this.followedTo >= offset;
  }

  private apply(record: StoredRecord): void {
    if (record.value) this.byKey.set(record.key, record);
    else this.byKey.delete(record.key);
  }
}
