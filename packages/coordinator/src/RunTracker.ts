/**
 * Tracks all runs that may be alive and applies each state change: planned, confirmed, stopping,
 * ended. Keeps jobs, targets and team usage consistent, and journals the progress of jobs before
 * anything that depends on it is reported outside.
 */
import { type Clock, Disposable, EventEmitter, type Logger } from '@acaciadock/core';
import { Job, type JobStatus, type RunEnd, type TaskPlace } from '@acaciadock/jobs';
import { type CommitOutcome } from '@acaciadock/journal';
import { CopyPolicy, type RuntimeEstimates } from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { type JobEntry } from './JobEntry.js';
import { type JobTable } from './JobTable.js';
import { LiveRun } from './LiveRun.js';
import { type TargetTable } from './TargetTable.js';
import { type TeamUsage } from './TeamUsage.js';

/** The end of a run, with its runtime in milliseconds; 0 if its start was never confirmed. */
export interface RunEnded {
  /** The run itself, whereas `LiveRun.run` is its number. */
  readonly run: LiveRun;
  readonly end: RunEnd;
  readonly runtimeMs: number;
}

export class RunTracker extends Disposable {
  private readonly endedEmitter = this.register(new EventEmitter<RunEnded>());

  /** Fires when it is certain that a run has ended. */
  readonly onEnded = this.endedEmitter.event;

  private readonly stopEmitter = this.register(new EventEmitter<LiveRun>());

  /** Fires when a stop order is to be sent to a run's target. */
  readonly onStopWanted = this.stopEmitter.event;

  private readonly plannedEmitter = this.register(new EventEmitter<LiveRun>());

  /** Fires when a run has been planned, before it is journaled. */
  readonly onPlanned = this.plannedEmitter.event;

  private readonly changeEmitter = this.register(new EventEmitter<JobEntry>());

  /** Fires when a run of an unfinished job has ended, as there may be tasks to place again. */
  readonly onJobChanged = this.changeEmitter.event;

  private readonly runsByTask = new Map<string, readonly LiveRun[]>();

  /** Called once no start order of the task is under way, by task id. */
  private readonly startWaiters = new Map<string, readonly (() => void)[]>();

  constructor(
    private readonly jobs: JobTable,
    private readonly targets: TargetTable,
    private readonly usage: TeamUsage,
    private readonly estimates: RuntimeEstimates,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  /** Adopts the journaled runs of a previous owner, which may be alive, and returns their count. */
  adoptJournaled(): number {
    let adopted = 0;
    for (const { job } of this.jobs.allJobs) adopted += this.adoptRunsOf(job.liveTasks());
    return adopted;
  }

  /**
   * Plans a run, which uses resources of its target and team from now on. The caller journals it
   * before the start order is sent.
   */
  plan(place: TaskPlace, target: FleetTarget): LiveRun {
    const isAlone = target.isIsolated;
    const { run } = place.task.addRun(target.targetId, target.bornMs, isAlone);
    place.job.markStarted();
    const live = new LiveRun(place, run, target.targetId, target.bornMs);
    live.isAlone = isAlone;
    live.isContinued = place.task.checkpoint !== '';
    this.track(live, target);
    this.plannedEmitter.fire(live);
    return live;
  }

  journal(place: TaskPlace): Promise<CommitOutcome> {
    const entry = this.jobs.entryOf(place.job);
    if (!entry) return Promise.resolve('withdrawn');
    return this.jobs.writeProgress(entry);
  }

  markRunning(live: LiveRun): void {
    Object.assign(live, { isConfirmed: true });
    live.place.task.markBegun();
    this.checkStarts(live.taskId);
    if (live.phase === 'stopping') return;
    const nowMs = this.clock.monotonicMs();
    Object.assign(live, { phase: 'running' });
    Object.assign(live, { absenceProvenAfterMs: nowMs });
    if (live.startedMs === 0) Object.assign(live, { startedMs: nowMs, progressedMs: nowMs });
    if (live.isObsolete) this.stop(live);
  }

  /** Records that the target has accepted a stop order: it refuses the run from now on. */
  markStopAccepted(live: LiveRun): void {
    Object.assign(live, { absenceProvenAfterMs: this.clock.monotonicMs() });
    this.checkStarts(live.taskId);
  }

  /** Requests the end of a run. It keeps its resources until it is certain that it has ended. */
  stop(live: LiveRun): void {
    if (live.phase === 'stopping') return;
    if (live.phase === 'planned') {
      void this.finish(live, 'lost', '');
      return;
    }
    // Until the stop is answered, a start order may still be executed, so absence proves nothing.
    Object.assign(live, { phase: 'stopping', absenceProvenAfterMs: undefined });
    this.stopEmitter.fire(live);
  }

  /** Applies and journals the certain end of a run; the promise settles once it is durable. */
  finish(live: LiveRun, end: RunEnd, checkpoint: string): Promise<CommitOutcome> {
    const target = this.targets.get(live.targetId);
    const nowMs = this.clock.monotonicMs();
    if (target?.runs.get(live.taskId) !== live) return Promise.resolve('durable');
    target.removeRun(live, nowMs);
    const { job, step } = live.place;
    this.usage.remove(job.definition.teamId, step.spec);
    this.untrack(live);
    const wasDone = live.place.task.done;
    const wasStepDone = step.isDone;
    if (end === 'done' && !wasDone) this.logCopyEndedFirst(live);
    job.endRun(live.place, live.run, end, this.isFurthest(live) ? checkpoint : '');
    const runtimeMs = live.startedMs > 0 ? nowMs - live.startedMs : 0;
    // Of a run that was adopted or resumed, only the rest was seen. A run that is done after its copy
    // was usually silent for a while, so its runtime is unknown as well.
    const isSilentCopy = wasDone && CopyPolicy.permits(step.spec);
    const isRuntimeKnown = runtimeMs > 0 && !live.isContinued && !isSilentCopy;
    if (end === 'done' && isRuntimeKnown) {
      this.estimates.record(job.definition.queueId, runtimeMs, live.isProjected);
      Object.assign(live.place.task, { runtimeMs });
    }
    if (step.spec.gang && end !== 'done') this.stopGang(live.place);
    // Fields of the log line.
    const note = {
      jobId: job.jobId,
      taskId: live.taskId,
      run: live.run,
      targetId: live.targetId,
      end,
      phase: live.phase,
      failures: live.place.task.failures,
      runtimeMs: Math.round(runtimeMs),
      reportedWorkMs: Math.round(live.reportedWorkMs),
    };
    // Successful ends are logged at debug level only, as the placement of the tasks and the end of
    // the step and of the job are logged.
    if (end === 'done') this.logger.debug('run-ended', note);
    else this.logger.info('run-ended', note);
    this.endedEmitter.fire({ run: live, end, runtimeMs });
    return this.updateJob(live.place, wasStepDone);
  }

  /** Finishes a job, and stops its remaining runs once that is durable. */
  finishJob(entry: JobEntry, status: 'completed' | 'failed' | 'cancelled'): Promise<CommitOutcome> {
    const { job } = entry;
    job.finish(status, this.clock.unixMs());
    this.logger.info('job-finished', { jobId: job.jobId, status });
    const commit = this.jobs.writeProgress(entry);
    Object.assign(entry, { finish: commit });
    void commit.then((outcome) => {
      if (outcome === 'durable') this.stopJobRuns(entry);
    });
    return commit;
  }

  /**
   * Takes back the acceptance of a job, with its planned runs. Returns false if its records may be in
   * the store.
   */
  withdrawJob(entry: JobEntry): boolean {
    if (!this.jobs.withdraw(entry)) return false;
    entry.job.liveTasks().forEach(({ task }) => {
      task.runs.forEach((run) => {
        const live = this.liveRunOf(task.taskId, run.targetId);
        if (live) void this.finish(live, 'lost', '');
      });
    });
    return true;
  }

  liveRunOf(taskId: string, targetId: string): LiveRun | undefined {
    return this.targets.get(targetId)?.runs.get(taskId);
  }

  liveRunsOf(taskId: string): readonly LiveRun[] {
    return this.runsByTask.get(taskId) ?? [];
  }

  /** Whether no other run of the task reports more progress, so that its checkpoint counts. */
  isFurthest(live: LiveRun): boolean {
    return this.liveRunsOf(live.taskId).every((other) => other.percent <= live.percent);
  }

  /**
   * Settles once no start order of the task is under way. The end of a run is acknowledged only
   * then, because a copy must not start after an acknowledged end.
   */
  whenNoStartIsUnderWay(taskId: string): Promise<void> {
    return new Promise((resolve) => {
      this.startWaiters.set(taskId, [...(this.startWaiters.get(taskId) ?? []), resolve]);
      this.checkStarts(taskId);
    });
  }

  /** Whether a start order of a task that may have copies is under way. */
  hasStartUnderWay(taskId: string): boolean {
    return this.liveRunsOf(taskId).some(
      (live) => live.mayYetStart && CopyPolicy.permits(live.place.step.spec),
    );
  }

  private checkStarts(taskId: string): void {
    const waiters = this.startWaiters.get(taskId);
    if (!waiters || this.hasStartUnderWay(taskId)) return;
    this.startWaiters.delete(taskId);
    waiters.forEach((resolve) => resolve());
  }

  private logCopyEndedFirst({ place, run, targetId }: LiveRun): void {
    const { job, task } = place;
    if (!task.runs.some((other) => other.run < run)) return;
    const { jobId } = job;
    this.logger.debug('copy-ended-first', { jobId, taskId: task.taskId, run, targetId });
  }

  private updateJob(place: TaskPlace, wasStepDone: boolean): Promise<CommitOutcome> {
    const { job } = place;
    const entry = this.jobs.entryOf(job);
    // Nothing of a job that was taken back, or whose retention has passed, is journaled any more.
    if (!entry) return Promise.resolve('withdrawn');
    if (place.task.done) this.stopRemainingRuns(place);
    if (job.isFinished) return this.jobs.writeProgress(entry);
    const verdict = RunTracker.finalStatusOf(place);
    if (verdict) return this.finishJob(entry, verdict);
    if (place.step.isDone && !wasStepDone)
      this.logger.info('step-done', { jobId: job.jobId, stepId: place.step.stepId });
    this.changeEmitter.fire(entry);
    return this.jobs.writeProgress(entry);
  }

  private static finalStatusOf(
    place: TaskPlace,
  ): Extract<JobStatus, 'completed' | 'failed'> | undefined {
    if (place.job.isComplete) return 'completed';
    return place.job.isOutOfAttempts(place) || Job.isGivenUp(place) ? 'failed' : undefined;
  }

  /**
   * Stops the remaining runs of a task that is done. It does not wait until the end is durable, so
   * that no planned copy is ordered meanwhile; the end is not acknowledged before it is durable.
   */
  private stopRemainingRuns({ task }: TaskPlace): void {
    task.runs.forEach((run) => {
      const live = this.liveRunOf(task.taskId, run.targetId);
      if (live) this.stop(live);
    });
  }

  /** Stops all runs of a gang, as its members can work only together. */
  private stopGang({ step }: TaskPlace): void {
    step.tasks.forEach((member) => {
      member.runs.forEach((run) => {
        const live = this.liveRunOf(member.taskId, run.targetId);
        if (live) this.stop(live);
      });
    });
  }

  /** Stops all runs of a job. */
  private stopJobRuns({ job }: JobEntry): void {
    job.liveTasks().forEach(({ task }) => {
      task.runs.forEach((run) => {
        const live = this.liveRunOf(task.taskId, run.targetId);
        if (live) this.stop(live);
      });
    });
  }

  private adoptRunsOf(places: readonly TaskPlace[]): number {
    let adopted = 0;
    places.forEach((place) => {
      place.task.runs.forEach((run) => {
        const live = new LiveRun(place, run.run, run.targetId, run.bornMs);
        live.phase = 'uncertain';
        live.isAlone = run.isAlone ?? false;
        live.isContinued = true;
        // The target rejects orders of the previous owner once it has seen the new fencing token,
        // so the first report that does not list the run proves that it is not there.
        live.absenceProvenAfterMs = 0;
        live.startedMs = this.clock.monotonicMs();
        live.progressedMs = live.startedMs;
        live.isObsolete = place.job.isFinished || place.task.done;
        this.track(live, this.targets.ensure(run.targetId));
        adopted += 1;
      });
    });
    return adopted;
  }

  private track(live: LiveRun, target: FleetTarget): void {
    target.addRun(live);
    this.runsByTask.set(live.taskId, [...this.liveRunsOf(live.taskId), live]);
    this.usage.add(live.place.job.definition.teamId, live.place.step.spec);
  }

  private untrack({ taskId, run }: LiveRun): void {
    const remaining = this.liveRunsOf(taskId).filter((other) => other.run !== run);
    if (remaining.length > 0) this.runsByTask.set(taskId, remaining);
    else this.runsByTask.delete(taskId);
    this.checkStarts(taskId);
  }
}
