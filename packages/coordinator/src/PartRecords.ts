/**
 * Journals the tasks of jobs whose progress is stored in parts: only the parts that have changed. The records of
 * ended occurrences and of finished jobs are deleted once the record of the job that makes them obsolete is
 * durable, because a task without a record counts as never started.
 */
import { type WorkMeter } from '@acaciadock/core';
import { JobCodec, type ProgressPart } from '@acaciadock/jobs';
import { type CommitOutcome, ENCODE_LATER, type RecordEncoder } from '@acaciadock/journal';
import { type CheckpointRecords } from './CheckpointRecords.js';
import { type JobEntry } from './JobEntry.js';
import { type Ownership } from './Ownership.js';

/** Keys have the form `tasks/job/occurrence.step.part`. */
export const PART_PREFIX = 'tasks/';

const PART_KEY = /^tasks\/(.*)\/(\d+)\.(\d+)\.(\d+)$/;

export interface PartKey {
  readonly jobId: string;
  readonly part: ProgressPart;
}

export class PartRecords {
  constructor(
    private readonly ownership: Ownership,
    private readonly meter: WorkMeter,
    private readonly checkpoints: CheckpointRecords,
  ) {}

  /** Returns what a key of a part names; undefined for any other key. */
  static parseKey(key: string): PartKey | undefined {
    const [, jobId, occurrence, step, part] = PART_KEY.exec(key) ?? [];
    if (jobId === undefined) return undefined;
    const indexes = { occurrence: Number(occurrence), step: Number(step), part: Number(part) };
    return { jobId, part: indexes };
  }

  static keyOf(jobId: string, { occurrence, step, part }: ProgressPart): string {
    return `${PART_PREFIX}${jobId}/${occurrence}.${step}.${part}`;
  }

  /** Journals the parts that have changed. */
  writeChanged(entry: JobEntry): Promise<CommitOutcome>[] {
    const { job, storedParts } = entry;
    const { writer } = this.ownership;
    return job.takeChangedParts().map((part) => {
      const key = PartRecords.keyOf(job.jobId, part);
      const encode: RecordEncoder = () =>
        this.checkpoints.storeChanged(entry, part)
          ? ENCODE_LATER
          : this.meter.measure('encoding', () => JobCodec.encodePart(job, part));
      const isStored = storedParts.has(key);
      storedParts.set(key, part);
      return isStored ? writer.write(key, encode) : writer.create(key, encode);
    });
  }

  /** The keys that are obsolete once the present state of the job is durable. */
  static obsoleteOf({ job, storedParts }: JobEntry): string[] {
    if (storedParts.size === 0) return [];
    const keys = [...storedParts];
    const isObsolete = JobCodec.keepsOnlyStatus(job)
      ? () => true
      : ({ occurrence }: ProgressPart) => job.endedOccurrences.has(occurrence);
    return keys.filter(([, part]) => isObsolete(part)).map(([key]) => key);
  }

  /** Deletes records of the job. */
  remove({ storedParts }: JobEntry, keys: Iterable<string>): void {
    for (const key of keys) {
      if (storedParts.delete(key)) void this.ownership.writer.delete(key);
    }
  }

  /** Takes back the records of a job whose acceptance is taken back. */
  withdraw({ storedParts }: JobEntry): void {
    const { writer } = this.ownership;
    for (const key of storedParts.keys()) {
      if (!writer.withdraw(key)) void writer.delete(key);
    }
    storedParts.clear();
  }
}
