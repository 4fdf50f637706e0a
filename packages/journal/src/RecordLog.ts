/**
 * The interface to the store that the journal needs: one append-only sequence of keyed records with
 * offsets and conditional appends. The newest record of each key never expires.
 */
import { type Result } from 'neverthrow';
import { type FittingRecord } from './FittingRecord.js';

export interface KeyedRecord {
  readonly key: string;
  /** Undefined deletes the key. */
  readonly value: Buffer | undefined;
}

export interface StoredRecord extends KeyedRecord {
  readonly offset: number;
}

export interface NewestRecords {
  readonly records: readonly StoredRecord[];
  /** The offset that the next record will get. */
  readonly endOffset: number;
  /**
   * Whoever follows the log from this offset on also reads what was appended while the records were
   * read one after the other.
   */
  readonly followFrom: number;
}

export interface LogSlice {
  readonly records: readonly StoredRecord[];
  readonly nextOffset: number;
}

export type LogFailure =
  /** Nothing was appended, because the log does not end at the expected offset. */
  | { readonly kind: 'offset-mismatch'; readonly endOffset: number }
  /** The call had no effect and may be retried. */
  | { readonly kind: 'rejected'; readonly detail: string }
  /** The log does not take these records, so the call had no effect, and a repeat of it has none either. */
  | { readonly kind: 'invalid'; readonly detail: string }
  /** The call may have taken effect, or may still do so later. */
  | { readonly kind: 'unknown-outcome'; readonly detail: string }
  /** The requested offset has expired. */
  | { readonly kind: 'history-gone' };

export abstract class RecordLog {
  /**
   * Appends all records if the log ends at `expectedOffset`, otherwise none. Aborting frees what the
   * call holds; whether it had an effect is then unknown.
   */
  abstract append(
    expectedOffset: number,
    records: readonly FittingRecord[],
    signal?: AbortSignal,
  ): Promise<Result<void, LogFailure>>;

  /** Returns the newest record of each key. Aborting ends the read with a failure. */
  abstract readNewest(signal?: AbortSignal): Promise<Result<NewestRecords, LogFailure>>;

  /** Returns records from `offset` on; waits up to `waitMs` for the first one. */
  abstract readFrom(
    offset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<LogSlice, LogFailure>>;
}
