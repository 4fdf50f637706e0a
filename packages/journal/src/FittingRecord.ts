/**
 * A record that is known to fit into the log. The log refuses a whole append for one record that is too large, so
 * only records of this type are appended.
 */
import { err, ok, type Result } from 'neverthrow';
import { type KeyedRecord } from './RecordLog.js';

/** Most bytes of a record in the log: the length of its key in one byte, the key and the value. */
export const MAX_RECORD_BYTES = 262_144;

const KEY_LENGTH_BYTES = 1;
const MAX_KEY_BYTES = 255;

export interface RecordTooLarge {
  readonly kind: 'record-too-large';
  readonly key: string;
  readonly bytes: number;
}

export class FittingRecord implements KeyedRecord {
  private constructor(
    readonly key: string,
    readonly value: Buffer | undefined,
    /** Size in the log. */
    readonly bytes: number,
  ) {}

  static of(key: string, value: Buffer | undefined): Result<FittingRecord, RecordTooLarge> {
    const keyBytes = Buffer.byteLength(key);
    const bytes = KEY_LENGTH_BYTES + keyBytes + (value?.length ?? 0);
    const fits = keyBytes <= MAX_KEY_BYTES && bytes <= MAX_RECORD_BYTES;
    return fits
      ? ok(new FittingRecord(key, value, bytes))
      : err({ kind: 'record-too-large', key, bytes });
  }
}
