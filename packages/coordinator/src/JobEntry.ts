/** A job in the coordinator's table, with what has been made durable of it. */
import { type Job, type JobStatus } from '@acaciadock/jobs';
import { type CommitOutcome } from '@acaciadock/journal';

export class JobEntry {
  /** What callers are shown: never ahead of the journal. */
  shownStatus: JobStatus = 'pending';

  /** Settles once the acceptance is durable. */
  acceptance: Promise<CommitOutcome> = Promise.resolve('durable');

  /** Settles once the cancellation is durable; undefined if nobody has cancelled. */
  cancellation: Promise<CommitOutcome> | undefined;

  constructor(readonly job: Job) {}
}
