/** All known jobs by id, and their records in the journal. */
import { type Clock, type Logger, type WorkMeter } from '@acaciadock/core';
import {
  type CheckpointLookup,
  Job,
  JobCodec,
  type JobDefinition,
  type JobStatus,
  type ProgressPart,
} from '@acaciadock/jobs';
import {
  type CommitOutcome,
  ENCODE_LATER,
  joinOutcomes,
  MAX_VALUE_BYTES,
  type RecordEncoder,
  type StoredRecord,
} from '@acaciadock/journal';
import { type CheckpointParts, CheckpointRecords } from './CheckpointRecords.js';
import { DEFINITION_PREFIX, JobDecoder, PROGRESS_PREFIX } from './JobDecoder.js';
import { JobEntry } from './JobEntry.js';
import { OpenTaskLimit } from './OpenTaskLimit.js';
import { type Ownership } from './Ownership.js';
import { PartRecords } from './PartRecords.js';

/** The records of one job in the journal. */
interface JobRecords {
  readonly definition: Buffer;
  readonly progress: Buffer | undefined;
  readonly parts: readonly StoredPart[];
  readonly checkpoints: CheckpointParts | undefined;
}

interface StoredPart {
  readonly key: string;
  readonly part: ProgressPart;
  readonly value: Buffer;
}

export class JobTable {
  private readonly entries = new Map<string, JobEntry>();

  /** Jobs that have not finished. */
  private readonly active = new Map<string, JobEntry>();

  private readonly openTasks = new OpenTaskLimit();

  private readonly checkpoints: CheckpointRecords;

  private readonly partRecords: PartRecords;

  constructor(
    private readonly ownership: Ownership,
    private readonly clock: Clock,
    private readonly meter: WorkMeter,
    logger: Logger,
    private readonly decoder = new JobDecoder(),
  ) {
    this.checkpoints = new CheckpointRecords(ownership, clock, logger);
    this.partRecords = new PartRecords(ownership, meter, this.checkpoints);
  }

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

  /** The entry of this very job; another one has its id if the job was taken back or its retention has passed. */
  entryOf(job: Job): JobEntry | undefined {
    const entry = this.entries.get(job.jobId);
    return entry?.job === job ? entry : undefined;
  }

  /** Rebuilds the table from the journal; returns the ids of jobs that could not be decoded. */
  restore(records: readonly StoredRecord[]): string[] {
    const unreadable: string[] = [];
    const progress = new Map<string, Buffer>();
    const parts = new Map<string, StoredPart[]>();
    const checkpoints = CheckpointRecords.collect(records);
    records.forEach(({ key, value }) => {
      if (!value) return;
      if (key.startsWith(PROGRESS_PREFIX)) progress.set(key.slice(PROGRESS_PREFIX.length), value);
      const named = PartRecords.parseKey(key);
      if (!named) return;
      const { jobId, part } = named;
      parts.set(jobId, [...(parts.get(jobId) ?? []), { key, part, value }]);
    });
    records.forEach(({ key, value }) => {
      if (!value || !key.startsWith(DEFINITION_PREFIX)) return;
      const jobId = key.slice(DEFINITION_PREFIX.length);
      const stored = {
        definition: value,
        progress: progress.get(jobId),
        parts: parts.get(jobId) ?? [],
        checkpoints: checkpoints.get(jobId),
      };
      if (!this.restoreOne(jobId, stored)) unreadable.push(jobId);
    });
    checkpoints.forEach((found, jobId) => {
      const isKnown = this.entries.has(jobId) || unreadable.includes(jobId);
      if (!isKnown) this.checkpoints.removeOrphans(jobId, found);
    });
    return unreadable;
  }

  /** Whether the journal's record of this key is the definition of the job. */
  static isDefinitionKey(key: string, jobId: string): boolean {
    return key === `${DEFINITION_PREFIX}${jobId}`;
  }

  /** Whether this owner, and each successor, can keep the tasks of one more such job in memory. */
  hasRoomFor({ spec }: JobDefinition): boolean {
    return this.openTasks.allows(Job.maxOpenTasksOf(spec));
  }

  /** Adds a job and journals it. */
  accept(definition: JobDefinition): JobEntry {
    const entry = new JobEntry(new Job(definition));
    this.entries.set(definition.jobId, entry);
    this.addActive(entry);
    const key = `${DEFINITION_PREFIX}${definition.jobId}`;
    const defined = this.ownership.writer.create(key, () =>
      this.meter.measure('encoding', () => JobCodec.encodeDefinition(definition)),
    );
    entry.acceptance = joinOutcomes([defined, this.writeProgress(entry, true)]);
    return entry;
  }

  /**
   * Takes back the acceptance of a job whose definition certainly is not in the store and will not be.
   * Returns false if it may be: a job is loaded by its definition, whatever else is written of it. All
   * waiting commits of the job settle as withdrawn, also one of its cancellation.
   */
  withdraw(entry: JobEntry): boolean {
    const { jobId } = entry.job;
    if (this.entries.get(jobId) !== entry) return false;
    const { writer } = this.ownership;
    if (!writer.withdraw(`${DEFINITION_PREFIX}${jobId}`)) return false;
    const progressKey = `${PROGRESS_PREFIX}${jobId}`;
    if (!writer.withdraw(progressKey)) void writer.delete(progressKey);
    this.partRecords.withdraw(entry);
    this.entries.delete(jobId);
    this.removeActive(entry);
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
    const encode: RecordEncoder = () => {
      writtenStatus = job.status;
      return this.encodeProgress(entry);
    };
    // A run is durable only with the part that names it.
    const parts = job.hasParts ? this.partRecords.writeChanged(entry) : [];
    const head = isNew ? writer.create(key, encode) : writer.write(key, encode);
    const commit = parts.length > 0 ? joinOutcomes([...parts, head]) : head;
    this.removeObsolete(entry, commit);
    if (job.isFinished) {
      // Until then a waiting record of its tasks may still be encoded.
      void commit.then((outcome) => {
        if (outcome === 'durable' && JobCodec.keepsOnlyStatus(job)) job.dropTasks();
      });
      this.removeActive(entry);
      this.trimDefinition(entry);
    }
    if (job.status === entry.durableStatus) return commit;
    return commit.then((outcome) => {
      if (outcome === 'durable') Object.assign(entry, { durableStatus: writtenStatus });
      return outcome;
    });
  }

  private addActive(entry: JobEntry): void {
    this.active.set(entry.job.jobId, entry);
    this.openTasks.add(entry.openTaskCount);
  }

  private removeActive(entry: JobEntry): void {
    if (this.active.get(entry.job.jobId) !== entry) return;
    this.active.delete(entry.job.jobId);
    this.openTasks.remove(entry.openTaskCount);
  }

  /** Encodes the progress, after the checkpoints that it refers to; a job that does not fit is divided into parts. */
  private encodeProgress(entry: JobEntry): ReturnType<RecordEncoder> {
    const { job } = entry;
    if (!job.hasParts && this.checkpoints.storeChanged(entry)) return ENCODE_LATER;
    const encoded = this.meter.measure('encoding', () => JobCodec.encodeProgress(job));
    if (job.hasParts || encoded.length <= MAX_VALUE_BYTES) return encoded;
    job.divide();
    void joinOutcomes(this.partRecords.writeChanged(entry));
    return ENCODE_LATER;
  }

  private removeObsolete(entry: JobEntry, commit: Promise<CommitOutcome>): void {
    const obsolete = PartRecords.obsoleteOf(entry);
    if (obsolete.length === 0 && entry.storedCheckpoints.size === 0) return;
    void commit.then((outcome) => {
      if (outcome !== 'durable') return;
      this.partRecords.remove(entry, obsolete);
      this.checkpoints.sweep(entry);
    });
  }

  /** Drops finished jobs whose retention has passed. */
  dropFinished(keepMs: number): void {
    const nowMs = this.clock.unixMs();
    for (const [jobId, entry] of this.entries) {
      const { job, storedParts } = entry;
      if (!job.isFinished || nowMs - job.finishedUnixMs < keepMs) continue;
      this.entries.delete(jobId);
      this.partRecords.remove(entry, [...storedParts.keys()]);
      this.checkpoints.remove(entry);
      void this.ownership.writer.delete(`${DEFINITION_PREFIX}${jobId}`);
      void this.ownership.writer.delete(`${PROGRESS_PREFIX}${jobId}`);
    }
  }

  /**
   * Journals a definition without the specification once a finished job has no live runs. Only its
   * state can still be queried, and a successor has less to load.
   */
  private trimDefinition({ job }: JobEntry): void {
    if (job.definition.spec.steps.length === 0 || job.liveTasks().length > 0) return;
    const { definition, jobId } = job;
    const trimmed = { ...definition, spec: { spec: '', steps: [] } };
    Object.assign(job, { definition: trimmed });
    const { writer } = this.ownership;
    // A successor that does not read the final status needs the specification.
    void writer.write(`${DEFINITION_PREFIX}${jobId}`, () =>
      JobCodec.encodeDefinition(
        writer.isSetAside(`${PROGRESS_PREFIX}${jobId}`) ? definition : trimmed,
      ),
    );
  }

  private restoreOne(
    jobId: string,
    { definition, progress, parts, checkpoints }: JobRecords,
  ): boolean {
    const decoded = this.decoder.definitionOf(definition);
    if (decoded.isErr() || decoded.value.jobId !== jobId) return false;
    const job = new Job(decoded.value);
    const recorded = progress && this.decoder.progressOf(progress);
    if (recorded?.isErr()) return false;
    const lookUp: CheckpointLookup = (ref) => this.checkpoints.lookUp(checkpoints, ref);
    if (recorded?.isOk()) JobCodec.applyProgress(job, recorded.value, lookUp);
    const entry = new JobEntry(job);
    if (!this.restoreParts(entry, parts, lookUp)) return false;
    this.checkpoints.adopt(entry, checkpoints);
    entry.durableStatus = job.status;
    this.entries.set(job.jobId, entry);
    if (!job.isFinished) this.addActive(entry);
    return true;
  }

  private restoreParts(
    { job, storedParts }: JobEntry,
    parts: readonly StoredPart[],
    lookUp: CheckpointLookup,
  ): boolean {
    for (const { key, part, value } of parts) {
      const decoded = this.decoder.partOf(value);
      if (decoded.isErr()) return false;
      JobCodec.applyPart(job, part, decoded.value, lookUp);
      storedParts.set(key, part);
    }
    // What an earlier version stored as one record is journaled in parts at the next change.
    if (parts.length > 0) job.takeChangedParts();
    return true;
  }
}
