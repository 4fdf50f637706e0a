/**
 * Decodes the jobs' records of the journal. An entry that expects to own the journal soon decodes them
 * ahead, while the owner still serves; a record that is written again meanwhile is decoded again.
 */
import {
  JobCodec,
  type JobDefinition,
  type PartRecord,
  type ProgressRecord,
  type RecordUnreadable,
} from '@acaciadock/jobs';
import { type StoredRecord } from '@acaciadock/journal';
import { type Result } from 'neverthrow';
import { PART_PREFIX } from './PartRecords.js';

export const DEFINITION_PREFIX = 'definition/';
export const PROGRESS_PREFIX = 'progress/';

/** Records that are decoded ahead in one turn of the event loop, which also serves callers. */
const RECORDS_PER_TURN = 100;

export class JobDecoder {
  private readonly definitions = new WeakMap<Buffer, Result<JobDefinition, RecordUnreadable>>();

  private readonly progress = new WeakMap<Buffer, Result<ProgressRecord, RecordUnreadable>>();

  private readonly parts = new WeakMap<Buffer, Result<PartRecord, RecordUnreadable>>();

  /** Decodes the records that are kept by whoever passes them. */
  async decodeAhead(records: readonly StoredRecord[]): Promise<void> {
    for (let start = 0; start < records.length; start += RECORDS_PER_TURN) {
      records.slice(start, start + RECORDS_PER_TURN).forEach((record) => this.decode(record));
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  definitionOf(value: Buffer): Result<JobDefinition, RecordUnreadable> {
    const decoded = this.definitions.get(value) ?? JobCodec.decodeDefinition(value);
    this.definitions.set(value, decoded);
    return decoded;
  }

  progressOf(value: Buffer): Result<ProgressRecord, RecordUnreadable> {
    const decoded = this.progress.get(value) ?? JobCodec.decodeProgress(value);
    this.progress.set(value, decoded);
    return decoded;
  }

  partOf(value: Buffer): Result<PartRecord, RecordUnreadable> {
    const decoded = this.parts.get(value) ?? JobCodec.decodePart(value);
    this.parts.set(value, decoded);
    return decoded;
  }

  private decode({ key, value }: StoredRecord): void {
    if (!value) return;
    if (key.startsWith(DEFINITION_PREFIX)) this.definitionOf(value);
    if (key.startsWith(PROGRESS_PREFIX)) this.progressOf(value);
    if (key.startsWith(PART_PREFIX)) this.partOf(value);
  }
}
