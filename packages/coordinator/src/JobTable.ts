/** All known jobs by id, and their records in the journal. */
import { type Clock, type WorkMeter } from '@acaciadock/core';
import { Job, JobCodec, type JobDefinition, type JobStatus } from '@acaciadock/jobs';
import { type CommitOutcome, type StoredRecord } from '@acaciadock/journal';
import { DEFINITION_PREFIX, JobDecoder, PROGRESS_PREFIX } from './JobDecoder.js';
import { JobEntry } from './JobEntry.js';
import { type Ownership } from './Ownership.js';

export class JobTable {
  private readonly entries = new Map<string, JobEntry>();

  /** Jobs that have not finished. */
  private readonly active = new Map<string, JobEntry>();

  constructor(
    private readonly ownership: Ownership,
    private readonly clock: Clock,
    private readonly meter: WorkMeter,
    private readonly decoder = new JobDecoder(),
  ) {}

  /** All jobs, including finished ones that are retained. */
  get allJobs(): IterableIterator<JobEntry> {
    return this.entries.values();
  }

  get activeJobs(): IterableIterator<JobEntry> {
    return this.active.values();
  }

  get activeCount(): number {
    return this.active.size;
  }

  get(jobId: string): JobEntry | undefined {
    return this.entries.get(jobId);
  }

  /** Rebuilds the table from the journal; returns the ids of jobs that could not be decoded. */
  restore(records: readonly StoredRecord[]): string[] {
    const unreadable: string[] = [];
    const progress = new Map<string, Buffer>();
    records.forEach(({ key, value }) => {
      if (value && key.startsWith(PROGRESS_PREFIX)) {
        progress.set(key.slice(PROGRESS_PREFIX.length), value);
      }
    });
    records.forEach(({ key, value }) => {
      if (!value || !key.startsWith(DEFINITION_PREFIX)) return;
      const jobId = key.slice(DEFINITION_PREFIX.length);
      if (!this.restoreOne(jobId, value, progress.get(jobId))) unreadable.push(jobId);
    });
    return unreadable;
  }

  /** Adds a job and journals it. */
  accept(definition: JobDefinition): JobEntry {
    const entry = new JobEntry(new Job(definition));
    this.entries.set(definition.jobId, entry);
    this.active.set(definition.jobId, entry);
    const key = `${DEFINITION_PREFIX}${definition.jobId}`;
    void this.ownership.writer.create(key, () =>
      this.meter.measure('encoding', () => JobCodec.encodeDefinition(definition)),
    );
    entry.acceptance = this.writeProgress(entry, true);
    return entry;
  }

  /**
   * Takes back the acceptance of a job whose definition certainly is not in the store and will not be.
   * Returns false if it may be: a job is loaded by its definition, whatever else is written of it.
   */
  withdraw(entry: JobEntry): boolean {
    const { jobId } = entry.job;
    const { writer } = this.ownership;
    if (!writer.withdraw(`${DEFINITION_PREFIX}${jobId}`)) return false;
    const progressKey = `${PROGRESS_PREFIX}${jobId}`;
    if (!writer.withdraw(progressKey)) void writer.write(progressKey, () => undefined);
    this.entries.delete(jobId);
    this.active.delete(jobId);
    Object.assign(entry, { isWithdrawn: true });
    return true;
  }

  /**
   * Journals the progress that the job has when the next batch is formed, and updates
   * `durableStatus` once it is durable. `isNew` is whether the store has no progress of the job.
   */
  writeProgress(entry: JobEntry, isNew = false): Promise<CommitOutcome> {
    const { job } = entry;
    const { writer } = this.ownership;
    const key = `${PROGRESS_PREFIX}${job.jobId}`;
    let writtenStatus: JobStatus = job.status;
    const encode = (): Buffer => {
      writtenStatus = job.status;
      return this.meter.measure('encoding', () => JobCodec.encodeProgress(job));
    };
    const commit = isNew ? writer.create(key, encode) : writer.write(key, encode);
    if (job.isFinished) {
      this.active.delete(job.jobId);
      this.trimDefinition(entry);
    }
    if (job.status === entry.durableStatus) return commit;
    return commit.then((outcome) => {
      if (outcome === 'durable') Object.assign(entry, { durableStatus: writtenStatus });
      return outcome;
    });
  }

  /** Drops finished jobs whose retention has passed. */
  dropFinished(keepMs: number): void {
    const nowMs = this.clock.unixMs();
    for (const [jobId, entry] of this.entries) {
      const { job } = entry;
      if (!job.isFinished || nowMs - job.finishedUnixMs < keepMs) continue;
      this.entries.delete(jobId);
      void this.ownership.writer.write(`${DEFINITION_PREFIX}${jobId}`, () => undefined);
      void this.ownership.writer.write(`${PROGRESS_PREFIX}${jobId}`, () => undefined);
    }
  }

  /**
   * Journals a definition without the specification once a finished job has no live runs. Only its
   * state can still be queried, and a successor has less to load.
   */
  private trimDefinition({ job }: JobEntry): void {
    if (job.definition.spec.steps.length === 0 || job.liveTasks().length > 0) return;
    const trimmed = { ...job.definition, spec: { spec: '', steps: [] } };
    Object.assign(job, { definition: trimmed });
    void this.ownership.writer.write(`${DEFINITION_PREFIX}${job.jobId}`, () =>
      JobCodec.encodeDefinition(trimmed),
    );
  }

  private restoreOne(jobId: string, definition: Buffer, progress: Buffer | undefined): boolean {
    const decoded = this.decoder.definitionOf(definition);
    if (decoded.isErr() || decoded.value.jobId !== jobId) return false;
    const job = new Job(decoded.value);
    const recorded = progress && this.decoder.progressOf(progress);
    if (recorded?.isErr()) return false;
    if (recorded?.isOk()) JobCodec.applyProgress(job, recorded.value);
    const entry = new JobEntry(job);
    entry.durableStatus = job.status;
    this.entries.set(job.jobId, entry);
    if (!job.isFinished) this.active.set(job.jobId, entry);
    return true;
  }
}
