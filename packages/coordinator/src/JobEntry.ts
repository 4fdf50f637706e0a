/** A job in the job table (not an entry process), with the state of its commits to the journal. */
import { Job, type JobStatus, type ProgressPart } from '@acaciadock/jobs';
import { type CommitOutcome } from '@acaciadock/journal';

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

  /** The most tasks of the job that are in memory at a time, until it has finished. */
  readonly openTaskCount: number;

  constructor(readonly job: Job) {
    this.openTaskCount = Job.maxOpenTasksOf(job.definition.spec);
  }
}
