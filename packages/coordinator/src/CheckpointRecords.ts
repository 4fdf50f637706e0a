/**
 * Journals checkpoints that are too long for the record of their task, in records of their own. They are named by
 * a digest of their content: tasks that share a checkpoint share its records, and a checkpoint is restored whole or
 * not at all. A record of tasks refers only to checkpoints that are in the log before it, and those that no record
 * refers to any more are deleted after it.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { type CheckpointRef, JobCodec, type ProgressPart, type TaskState } from '@acaciadock/jobs';
import { createHash } from 'node:crypto';
import { type JobEntry } from './JobEntry.js';
import { type Ownership } from './Ownership.js';

/** Keys have the form `checkpoint/job/digest/part`. */
const CHECKPOINT_PREFIX = 'checkpoint/';

const CHECKPOINT_KEY = /^checkpoint\/(.*)\/([0-9a-f]+)\/(\d+)$/;

const DIGEST_CHARACTERS = 32;
const PART_BYTES = 200_000;

/** A longer checkpoint is kept in memory only, and a new owner resumes from an earlier one. */
const MAX_CHECKPOINT_BYTES = 1_000_000;

/** All checkpoints in the log may have so many bytes: the platform stores 400 MB in total. */
const MAX_TOTAL_BYTES = 64_000_000;

/** Interval at which records without a reference are looked for, in milliseconds. */
const SWEEP_MS = 500;

/** The records of the checkpoints of one job, by digest. */
export type CheckpointParts = Map<string, Map<number, Buffer>>;

function digestOf(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex').slice(0, DIGEST_CHARACTERS);
}

export class CheckpointRecords {
  private totalBytes = 0;

  private hasLoggedLimit = false;

  constructor(
    private readonly ownership: Ownership,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Writes the checkpoints that the next record of these tasks is to refer to; returns whether there are any. The
   * record of the tasks then has to follow them.
   */
  storeChanged(entry: JobEntry, part?: ProgressPart): boolean {
    if (JobCodec.keepsOnlyStatus(entry.job)) return false;
    let hasWritten = false;
    for (const task of JobCodec.tasksOf(entry.job, part)) {
      if (task.needsStoredCheckpoint && this.store(entry, task)) hasWritten = true;
    }
    return hasWritten;
  }

  /** Deletes the checkpoints that no task refers to, once a record without a reference to them is durable. */
  sweep(entry: JobEntry): void {
    const { job, storedCheckpoints } = entry;
    if (storedCheckpoints.size === 0) return;
    const nowMs = this.clock.monotonicMs();
    if (!job.isFinished && nowMs - entry.sweptMs < SWEEP_MS) return;
    Object.assign(entry, { sweptMs: nowMs });
    const needed = new Set(
      JobCodec.keepsOnlyStatus(job)
        ? []
        : JobCodec.tasksOf(job).map(({ storedCheckpoint }) => storedCheckpoint?.ref.digest),
    );
    storedCheckpoints.forEach((stored, digest) => {
      if (!needed.has(digest)) this.delete(entry, digest);
    });
  }

  /** Deletes all checkpoints of a job. */
  remove(entry: JobEntry): void {
    [...entry.storedCheckpoints.keys()].forEach((digest) => this.delete(entry, digest));
  }

  /** Collects the checkpoints among the records of a previous owner, by job. */
  static collect(
    records: readonly { readonly key: string; readonly value: Buffer | undefined }[],
  ): Map<string, CheckpointParts> {
    const byJob = new Map<string, CheckpointParts>();
    records.forEach(({ key, value }) => {
      if (!value || !key.startsWith(CHECKPOINT_PREFIX)) return;
      const [, jobId, digest, part] = CHECKPOINT_KEY.exec(key) ?? [];
      if (jobId === undefined || digest === undefined) return;
      const ofJob: CheckpointParts = byJob.get(jobId) ?? new Map<string, Map<number, Buffer>>();
      byJob.set(jobId, ofJob);
      const parts = ofJob.get(digest) ?? new Map<number, Buffer>();
      ofJob.set(digest, parts.set(Number(part), value));
    });
    return byJob;
  }

  /** The checkpoint that a record refers to; undefined unless all of it is there. */
  lookUp(found: CheckpointParts | undefined, { digest, parts }: CheckpointRef): string | undefined {
    const stored = found?.get(digest);
    const bytes = Buffer.concat(
      Array.from({ length: parts }, (_, part) => stored?.get(part) ?? Buffer.of()),
    );
    if (digestOf(bytes) === digest) return JSON.parse(bytes.toString('utf8')) as string;
    this.logger.error('checkpoint-unreadable', { digest, parts, found: stored?.size ?? 0 });
    return undefined;
  }

  /** Takes over the records of a restored job; those without a reference are deleted later. */
  adopt(entry: JobEntry, found: CheckpointParts | undefined): void {
    found?.forEach((parts, digest) => {
      const bytes = [...parts.values()].reduce((sum, { length }) => sum + length, 0);
      entry.storedCheckpoints.set(digest, { parts: Math.max(...parts.keys()) + 1, bytes });
      this.totalBytes += bytes;
    });
  }

  /** Deletes the records of a job that the journal does not have. */
  removeOrphans(jobId: string, found: CheckpointParts): void {
    found.forEach((parts, digest) => {
      for (const part of parts.keys())
        void this.ownership.writer.delete(CheckpointRecords.keyOf(jobId, digest, part));
    });
  }

  private static keyOf(jobId: string, digest: string, part: number): string {
    return `${CHECKPOINT_PREFIX}${jobId}/${digest}/${part}`;
  }

  private store(entry: JobEntry, task: TaskState): boolean {
    const text = task.checkpoint;
    const bytes = Buffer.from(JSON.stringify(text));
    const digest = digestOf(bytes);
    const known = entry.storedCheckpoints.get(digest);
    const parts = known?.parts ?? Math.ceil(bytes.length / PART_BYTES);
    if (!known && !this.write(entry, digest, bytes)) return false;
    Object.assign(task, { storedCheckpoint: { ref: { digest, parts }, text } });
    return known === undefined;
  }

  private write(entry: JobEntry, digest: string, bytes: Buffer): boolean {
    const isTooLong = bytes.length > MAX_CHECKPOINT_BYTES;
    if (isTooLong || this.totalBytes + bytes.length > MAX_TOTAL_BYTES) {
      this.logLimit(entry, bytes.length);
      return false;
    }
    const { jobId } = entry.job;
    const parts = Math.ceil(bytes.length / PART_BYTES);
    for (let part = 0; part < parts; part += 1) {
      const value = bytes.subarray(part * PART_BYTES, (part + 1) * PART_BYTES);
      void this.ownership.writer.write(CheckpointRecords.keyOf(jobId, digest, part), () => value);
    }
    entry.storedCheckpoints.set(digest, { parts, bytes: bytes.length });
    this.totalBytes += bytes.length;
    return true;
  }

  private logLimit({ job }: JobEntry, bytes: number): void {
    if (this.hasLoggedLimit) return;
    this.hasLoggedLimit = true;
    const { totalBytes } = this;
    this.logger.warn('checkpoint-not-stored', { jobId: job.jobId, bytes, totalBytes });
  }

  private delete({ job, storedCheckpoints }: JobEntry, digest: string): void {
    const stored = storedCheckpoints.get(digest);
    if (!stored) return;
    storedCheckpoints.delete(digest);
    this.totalBytes -= stored.bytes;
    for (let part = 0; part < stored.parts; part += 1)
      void this.ownership.writer.delete(CheckpointRecords.keyOf(job.jobId, digest, part));
  }
}
