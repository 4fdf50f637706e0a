/**
 * What the journal needs from the platform's store: one keyed, append-only sequence of records
 * with offsets and conditional appends. The newest record of a key is kept for good.
 */
import { type Result } from 'neverthrow';

export interface KeyedRecord {
  readonly key: string;
  /** Undefined drops the key. */
  readonly value: Buffer | undefined;
}

export interface StoredRecord extends KeyedRecord {
  readonly offset: number;
}

export interface NewestRecords {
  readonly records: readonly StoredRecord[];
  /** The offset that the next record would get. */
  readonly endOffset: number;
}

export interface LogSlice {
  readonly records: readonly StoredRecord[];
  readonly nextOffset: number;
}

export type LogFailure =
  /** Nothing was appended: the log ends elsewhere than expected. */
  | { readonly kind: 'offset-mismatch'; readonly endOffset: number }
  /** Nothing was done; it may be tried again. */
  | { readonly kind: 'rejected'; readonly detail: string }
  /** It may have been done, or may be done later. */
  | { readonly kind: 'unknown-outcome'; readonly detail: string }
  /** The wanted offset has expired. */
  | { readonly kind: 'history-gone' };

export abstract class RecordLog {
  /** Appends all records or none, if the log ends at `expectedOffset`. */
  abstract append(
    expectedOffset: number,
    records: readonly KeyedRecord[],
  ): Promise<Result<void, LogFailure>>;

  /** The newest record of each key. */
  abstract readNewest(): Promise<Result<NewestRecords, LogFailure>>;

  /** Records from `offset`; waits up to `waitMs` for the first. */
  abstract readFrom(offset: number, waitMs: number): Promise<Result<LogSlice, LogFailure>>;
}
