/** A job in the job table (not an entry process), with the state of its commits to the journal. */
import { Job, type JobStatus, type ProgressPart } from '@acaciadock/jobs';
import { type CommitOutcome } from '@acaciadock/journal';

/** Number and bytes of the records of one checkpoint. */
export interface StoredCheckpointSize {
  readonly parts: number;
  readonly bytes: number;
}

export class JobEntry {
  /** Last status that is durable in the journal; `pending` before there is one. */
  durableStatus: JobStatus = 'pending';

  /** Settles once the acceptance is durable, or was taken back: then the job never runs. */
  acceptance: Promise<CommitOutcome> = Promise.resolve('durable');

  /**
   * Settles once the final status of the job is durable, or was taken back with the acceptance; undefined if this
   * owner has not finished the job.
   */
  finish: Promise<CommitOutcome> | undefined;

  /** The job was refused because of load before it was accepted. */
  hasReturned = false;

  /** The parts of its progress that are journaled, by key. */
  readonly storedParts = new Map<string, ProgressPart>();

  /** The checkpoints of its tasks that have records of their own, by digest. */
  readonly storedCheckpoints = new Map<string, StoredCheckpointSize>();

  /** Monotonic time at which checkpoints without a reference were last looked for. */
  sweptMs = -Infinity;

  /** The most tasks of the job that are in memory at a time, until it has finished. */
  readonly openTaskCount: number;

  constructor(readonly job: Job) {
    this.openTaskCount = Job.maxOpenTasksOf(job.definition.spec);
  }
}
