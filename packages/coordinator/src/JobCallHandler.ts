/**
 * Handles the calls of the job service: submit, cancel, state and waiting count. An acceptance, a
 * cancellation or the final status of a job is reported only once it is durable.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { type Job, type JobDefinition, type JobsConfigView } from '@acaciadock/jobs';
import { type CommitOutcome } from '@acaciadock/journal';
import { RetryAfter, ShareMeter } from '@acaciadock/placement';
import { type AdmissionController } from './AdmissionController.js';
import { type CancelRecords } from './CancelRecords.js';
import { type DemandMeter } from './DemandMeter.js';
import { type JobEntry } from './JobEntry.js';
import { type JobScheduler } from './JobScheduler.js';
import {
  type JobCall,
  type JobReply,
  type JobService,
  ID_IN_USE,
  OVERLOADED,
  type SubmitCall,
} from './JobService.js';
import { JobTable } from './JobTable.js';
import { type Ownership } from './Ownership.js';
import { type RunTracker } from './RunTracker.js';
import { isWithinScope, scopeOf, type SubmissionScope } from './SubmissionScope.js';

/** The outcome is reported as unknown after this wait for the store, in milliseconds. */
const COMMIT_WAIT_MS = 1_500;

/** How often a waiting submission is checked against the state of the store, in milliseconds. */
const STALL_CHECK_MS = 50;

/** When a caller may return whose job has too many tasks beside those that are open, in milliseconds. */
const TOO_MANY_TASKS_RETRY_MS = 3_000;

type CommitWaitOutcome = CommitOutcome | 'store-stalled';

export interface JobCallHandlerDeps {
  readonly jobs: JobTable;
  readonly cancels: CancelRecords;
  readonly runTracker: RunTracker;
  readonly demand: DemandMeter;
  readonly scheduler: JobScheduler;
  readonly admission: AdmissionController;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
  /** Retention of finished jobs, in milliseconds. */
  readonly keepFinishedMs: number;
}

export class JobCallHandler implements JobService {
  private readonly shares = new ShareMeter();

  constructor(private readonly deps: JobCallHandlerDeps) {}

  call(call: JobCall): Promise<JobReply> {
    switch (call.kind) {
      case 'submit':
        return this.submit(call);
      case 'cancel':
        return this.cancel(call.jobId, call.context);
      case 'state':
        return Promise.resolve(this.state(call.jobId, call.context));
      case 'waiting':
      default:
        return Promise.resolve(this.waiting(call.context.queueId));
    }
  }

  private async submit(call: SubmitCall): Promise<JobReply> {
    const { ownership, clock, logger } = this.deps;
    const holder = this.deps.jobs.get(call.jobId);
    const known = this.findVisible(call.jobId, call.context);
    if (holder && !known) return this.refuseUsedId(call, holder.job);
    if (!known && !ownership.mayAcceptWork) return this.refuse('store-stalled');
    const definition = this.definitionOf(call);
    const retryAfterMs = known ? undefined : this.refusalFor(definition);
    if (retryAfterMs !== undefined) return { kind: 'refused', reason: OVERLOADED, retryAfterMs };
    const entry = known ?? this.accept(definition);
    const startedMs = clock.monotonicMs();
    const outcome = await this.awaitAcceptance(entry);
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
    if (outcome === 'withdrawn') return this.refuse('store-stalled');
    return { kind: 'unknown-outcome', reason: outcome };
  }

  /**
   * Waits until the acceptance is durable. Once the store stalls, the acceptance is taken back if that
   * is still possible: then the job certainly has not run, and the caller may be told so at once.
   */
  private awaitAcceptance(entry: JobEntry): Promise<CommitWaitOutcome> {
    const { clock, ownership } = this.deps;
    return new Promise((resolve) => {
      const check = clock.every(STALL_CHECK_MS, () => {
        if (!ownership.mayAcceptWork) this.withdraw(entry);
      });
      // Nothing of a job whose definition the store does not take is in the store.
      const refusal = ownership.writer.onSetAside(({ key }) => {
        if (JobTable.isDefinitionKey(key, entry.job.jobId)) this.withdraw(entry);
      });
      // After a loss of the journal, its new owner may have accepted a repeat of the call already.
      const release = ownership.onEnd((reason) => {
        if (reason === 'handover' || reason === 'shutdown') this.withdraw(entry);
      });
      void this.withTimeout(entry.acceptance).then((outcome) => {
        check.dispose();
        release.dispose();
        refusal.dispose();
        resolve(outcome);
      });
    });
  }

  /**
   * Takes the acceptance back if that is still possible. A cancel of the job stays in force, because an
   * earlier copy of the submission may still arrive.
   */
  private withdraw(entry: JobEntry): void {
    if (!this.deps.runTracker.withdrawJob(entry)) return;
    const { jobId, status, definition } = entry.job;
    if (status === 'cancelled') void this.recordCancel(jobId, definition);
  }

  /** Journals the cancel of a job that has no records, once if it is repeated. */
  private recordCancel(jobId: string, scope: SubmissionScope): Promise<CommitOutcome> {
    return this.deps.cancels.add(jobId, scopeOf(scope, this.deps.config()));
  }

  /** Waits for the commit with a timeout, so that callers get an answer before they time out. */
  private withTimeout(commit: Promise<CommitOutcome>): Promise<CommitOutcome | 'store-stalled'> {
    const { clock } = this.deps;
    return new Promise((resolve) => {
      const timer = clock.after(COMMIT_WAIT_MS, () => resolve('store-stalled'));
      void commit.then((outcome) => {
        timer.dispose();
        resolve(outcome);
      });
    });
  }

  /**
   * An owner that isn't proven accepts, and the append decides: it may have a successor that has
   * accepted the job, and then it may not say that the job never runs.
   */
  private refusalFor(definition: JobDefinition): number | undefined {
    if (!this.deps.ownership.isProven) return undefined;
    if (!this.deps.jobs.hasRoomFor(definition)) return TOO_MANY_TASKS_RETRY_MS;
    const startsAsSuspect = this.deps.scheduler.isSuspected(definition.queueId);
    return this.deps.admission.refusalFor(definition, startsAsSuspect);
  }

  private accept(definition: JobDefinition): JobEntry {
    const { teamId, jobId } = definition;
    this.shares.note(teamId, this.weightOf(teamId), this.deps.clock.monotonicMs());
    const entry = this.deps.jobs.accept(definition);
    if (this.deps.cancels.has(jobId, scopeOf(definition, this.deps.config()))) {
      void this.deps.runTracker.finishJob(entry, 'cancelled');
      return entry;
    }
    entry.hasReturned = this.deps.admission.hasReturned(definition);
    this.deps.scheduler.openDue(entry);
    this.deps.demand.recordArrival(this.deps.scheduler.poolOf(entry), entry);
    this.deps.scheduler.requestPassFor(entry);
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
    return this.shares.isBeyond(teamId, this.weightOf(teamId), this.deps.clock.monotonicMs());
  }

  /** The team's weight; a team that isn't configured has no share to exceed. */
  private weightOf(teamId: string): number {
    return this.deps.config().team(teamId)?.weight ?? Infinity;
  }

  private async cancel(jobId: string, caller: SubmissionScope): Promise<JobReply> {
    const entry = this.findVisible(jobId, caller);
    if (!entry) return this.cancelUnknown(jobId, caller);
    if (!entry.job.isFinished) {
      if (!this.deps.ownership.mayAcceptWork) return this.refuse('store-stalled');
      void this.deps.runTracker.finishJob(entry, 'cancelled');
    }
    const outcome = await this.withTimeout(this.finalStatusCommit(entry));
    if (outcome === 'durable') return { kind: 'cancelled' };
    return { kind: 'unknown-outcome', reason: outcome };
  }

  /**
   * Settles once no successor can run the job any more: its final status is durable, or the record of its cancel if
   * the acceptance was taken back.
   */
  private async finalStatusCommit({ job, finish }: JobEntry): Promise<CommitOutcome> {
    const outcome = (await finish) ?? 'durable';
    return outcome === 'withdrawn' ? this.recordCancel(job.jobId, job.definition) : outcome;
  }

  /** Confirms the cancel of a job that is not known once a submission that comes later can't run. */
  private async cancelUnknown(jobId: string, caller: SubmissionScope): Promise<JobReply> {
    const { ownership, cancels, config } = this.deps;
    if (!ownership.mayAcceptWork) return this.refuse('store-stalled');
    const scope = scopeOf(caller, config());
    if (cancels.isFull(scope) && !cancels.has(jobId, scope)) return this.refuse('too-many-cancels');
    const outcome = await this.withTimeout(cancels.add(jobId, scope));
    return outcome === 'durable' ? this.unknownJob() : { kind: 'unknown-outcome', reason: outcome };
  }

  private state(jobId: string, caller: SubmissionScope): JobReply {
    const entry = this.findVisible(jobId, caller);
    if (!entry) return this.unknownJob();
    const { job, durableStatus } = entry;
    const reportsDurableStatus = durableStatus === job.status || job.isFinished;
    return { kind: 'state', status: reportsDurableStatus ? durableStatus : job.status };
  }

  /**
   * Reports a job as unknown only while the ownership is proven. An owner whose appends are not
   * acknowledged may have a successor that has accepted the job.
   */
  private unknownJob(): JobReply {
    if (this.deps.ownership.isProven) return { kind: 'unknown-job' };
    return this.refuse('ownership-unproven');
  }

  private waiting(queueId: string): JobReply {
    let count = 0;
    for (const { job } of this.deps.jobs.activeJobs) {
      if (job.definition.queueId === queueId && !job.hasBegun) count += 1;
    }
    return { kind: 'waiting', count };
  }

  /** The job, if it is a submission of the caller. */
  private findVisible(jobId: string, caller: SubmissionScope): JobEntry | undefined {
    const entry = this.deps.jobs.get(jobId);
    if (!entry) return undefined;
    return isWithinScope(entry.job.definition, caller, this.deps.config()) ? entry : undefined;
  }

  /**
   * Refuses a submission whose id another one has until the retention of that one is over. Without a proof of
   * ownership, a successor may have accepted an earlier attempt, and then it may not be said that it never runs.
   */
  private refuseUsedId({ jobId, context }: SubmitCall, holder: Job): JobReply {
    const { ownership, clock, logger, keepFinishedMs } = this.deps;
    if (!ownership.isProven) return { kind: 'unknown-outcome', reason: 'ownership-unproven' };
    const { queueId, teamId } = context;
    logger.info('job-id-in-use', { jobId, queueId, teamId });
    const finishedAgoMs = holder.isFinished ? clock.unixMs() - holder.finishedUnixMs : 0;
    const retryAfterMs = Math.max(keepFinishedMs - finishedAgoMs, 0);
    return { kind: 'refused', reason: ID_IN_USE, retryAfterMs };
  }

  private refuse(reason: string): JobReply {
    const outageMs = this.deps.ownership.writer.stalledMs;
    return { kind: 'refused', reason, retryAfterMs: RetryAfter.duringOutageMs(outageMs) };
  }
}
