/**
 * A bounded buffer of the most recent records, without a gap, to relay to a peer that can't read
 * the log. Snapshots are kept only as placeholders without content: they are large, and change
 * nothing for a reader that has read every record before them.
 */
import { type RelayedRecord } from '@acaciadock/peers';

const MAX_RECORDS = 2_000;

function isSnapshot(payload: unknown): boolean {
  if (typeof payload !== 'object' || payload === null) return false;
  return 'kind' in payload && payload.kind === 'snapshot';
}

export class RecentRecords {
  private records: RelayedRecord[] = [];

  /** Adds a record. If it does not directly follow the last one, the buffer is cleared first. */
  add(record: RelayedRecord): void {
    const last = this.records[this.records.length - 1];
    if (last && record.offset !== last.offset + 1) this.records = [];
    const { offset, payload } = record;
    const leftOut = record.leftOut === true || isSnapshot(payload);
    this.records.push(leftOut ? { offset, payload: null, leftOut } : { offset, payload });
    if (this.records.length > 2 * MAX_RECORDS) this.records = this.records.slice(-MAX_RECORDS);
  }

  clear(): void {
    this.records = [];
  }

  /**
   * Up to `maxRecords` records after an offset; undefined if the first of them is no longer kept.
   */
  after(offset: number, maxRecords: number): readonly RelayedRecord[] | undefined {
    const [first] = this.records;
    if (!first || first.offset > offset + 1) return undefined;
    const skip = offset + 1 - first.offset;
    return this.records.slice(skip, skip + maxRecords);
  }
}
