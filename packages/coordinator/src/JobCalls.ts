/** Answers callers about jobs: accepts, cancels, and tells states, never ahead of the journal. */
import { type Clock, type Logger } from '@acaciadock/core';
import { type JobDefinition, type JobsConfigView } from '@acaciadock/jobs';
import { type CommitOutcome } from '@acaciadock/journal';
import { ShareMeter } from '@acaciadock/placement';
import { type DemandMeter } from './DemandMeter.js';
import { type JobEntry } from './JobEntry.js';
import { type JobScheduler } from './JobScheduler.js';
import { type JobCall, type JobReply, type JobService, type SubmitCall } from './JobService.js';
import { type JobTable } from './JobTable.js';
import { type Ownership } from './Ownership.js';
import { type RunBook } from './RunBook.js';

/** Callers are told to come back after this, in milliseconds: a change of owner takes about it. */
const RETRY_AFTER_MS = 1_000;

/** A caller is told that the outcome is unknown after this wait for the store, in milliseconds. */
const COMMIT_WAIT_MS = 1_500;

export interface JobCallsDeps {
  readonly jobs: JobTable;
  readonly book: RunBook;
  readonly demand: DemandMeter;
  readonly scheduler: JobScheduler;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
}

export class JobCalls implements JobService {
  private readonly shares = new ShareMeter();

  constructor(private readonly deps: JobCallsDeps) {}

  call(call: JobCall): Promise<JobReply> {
    switch (call.kind) {
      case 'submit':
        return this.submit(call);
      case 'cancel':
        return this.cancel(call.jobId, call.context.teamId);
      case 'state':
        return Promise.resolve(this.state(call.jobId, call.context.teamId));
      case 'waiting':
      default:
        return Promise.resolve(this.waiting(call.context.queueId));
    }
  }

  private async submit(call: SubmitCall): Promise<JobReply> {
    const { ownership, clock, logger } = this.deps;
    const known = this.deps.jobs.get(call.jobId);
    if (!known && !ownership.isStoreResponsive) return JobCalls.refuse('store-stalled');
    const entry = known ?? this.accept(this.definitionOf(call));
    const startedMs = clock.monotonicMs();
    const outcome = await this.within(entry.acceptance);
    logger.info('job-accepted', {
      jobId: call.jobId,
      queueId: call.context.queueId,
      teamId: call.context.teamId,
      configVersion: call.context.configVersion,
      repeated: known !== undefined,
      outcome,
      appendMs: Math.round(clock.monotonicMs() - startedMs),
    });
    if (outcome === 'durable') return { kind: 'accepted' };
    return { kind: 'unknown-outcome', reason: outcome };
  }

  /** The outcome, or that it is not known yet: a caller is not kept until its time is over. */
  private within(commit: Promise<CommitOutcome>): Promise<CommitOutcome | 'store-stalled'> {
    const { clock } = this.deps;
    return new Promise((resolve) => {
      const timer = clock.after(COMMIT_WAIT_MS, () => resolve('store-stalled'));
      void commit.then((outcome) => {
        timer.dispose();
        resolve(outcome);
      });
    });
  }

  private accept(definition: JobDefinition): JobEntry {
    const entry = this.deps.jobs.accept(definition);
    this.deps.scheduler.openDue(entry);
    this.deps.demand.noteArrival(this.deps.scheduler.poolOf(entry), entry);
    this.deps.scheduler.wakeFor(entry);
    return entry;
  }

  private definitionOf({ context, jobId, spec }: SubmitCall): JobDefinition {
    return {
      jobId,
      queueId: context.queueId,
      poolId: context.poolId,
      teamId: context.teamId,
      priority: context.priority,
      maxAttempts: context.maxAttempts,
      stretch: context.stretch,
      targetLatencyMs: context.targetLatencyMs,
      acceptedUnixMs: this.deps.clock.unixMs(),
      isBeyondShare: this.isBeyondShare(context.teamId),
      spec,
    };
  }

  private isBeyondShare(teamId: string): boolean {
    const team = this.deps.config().team(teamId);
    if (!team) return false;
    return this.shares.note(teamId, team.weight, this.deps.clock.monotonicMs());
  }

  private async cancel(jobId: string, teamId: string): Promise<JobReply> {
    const entry = this.visible(jobId, teamId);
    if (!entry) return this.unknownJob();
    if (entry.job.isFinished && !entry.cancellation) return { kind: 'cancelled' };
    if (!entry.cancellation) {
      if (!this.deps.ownership.isStoreResponsive) return JobCalls.refuse('store-stalled');
      entry.cancellation = this.deps.book.finishJob(entry, 'cancelled');
    }
    const outcome = await this.within(entry.cancellation);
    if (outcome === 'durable') return { kind: 'cancelled' };
    return { kind: 'unknown-outcome', reason: outcome };
  }

  private state(jobId: string, teamId: string): JobReply {
    const entry = this.visible(jobId, teamId);
    if (!entry) return this.unknownJob();
    const { job, shownStatus } = entry;
    const isShown = shownStatus === job.status || job.isFinished;
    return { kind: 'state', status: isShown ? shownStatus : job.status };
  }

  /** An owner that the store turns away may have a successor that has accepted the job. */
  private unknownJob(): JobReply {
    if (this.deps.ownership.isProven) return { kind: 'unknown-job' };
    return JobCalls.refuse('ownership-unproven');
  }

  private waiting(queueId: string): JobReply {
    let count = 0;
    for (const { job } of this.deps.jobs.activeJobs) {
      if (job.definition.queueId === queueId && !job.hasStarted) count += 1;
    }
    return { kind: 'waiting', count };
  }

  /** The job, if the team may see it. Jobs of public queues are open to all. */
  private visible(jobId: string, teamId: string): JobEntry | undefined {
    const entry = this.deps.jobs.get(jobId);
    if (!entry) return undefined;
    const { queueId, teamId: ownerId } = entry.job.definition;
    if (ownerId === '' || ownerId === teamId) return entry;
    return this.deps.config().queue(queueId)?.isPublic ? entry : undefined;
  }

  private static refuse(reason: string): JobReply {
    return { kind: 'refused', reason, retryAfterMs: RETRY_AFTER_MS };
  }
}
