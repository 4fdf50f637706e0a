/**
 * Every run that may be alive, and each change to one: planned, ordered, confirmed, ended, given
 * up. Keeps jobs, targets and team usage in step and journals before anything is told to anyone.
 */
import { type Clock, Disposable, EventEmitter, type Logger } from '@acaciadock/core';
import { type JobStatus, type RunEnd, type TaskPlace } from '@acaciadock/jobs';
import { type CommitOutcome } from '@acaciadock/journal';
import { type RuntimeEstimates } from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { type JobEntry } from './JobEntry.js';
import { type JobTable } from './JobTable.js';
import { LiveRun } from './LiveRun.js';
import { type TargetTable } from './TargetTable.js';
import { type TeamUsage } from './TeamUsage.js';

/** A run has ended; `wasAlive` time in milliseconds. */
export interface RunEnded {
  readonly run: LiveRun;
  readonly end: RunEnd;
  readonly runtimeMs: number;
}

export class RunBook extends Disposable {
  private readonly endedEmitter = this.register(new EventEmitter<RunEnded>());

  /** Fires when the end of a run is certain. */
  readonly onEnded = this.endedEmitter.event;

  private readonly stopEmitter = this.register(new EventEmitter<LiveRun>());

  /** Fires when a run is to be stopped on its target. */
  readonly onStopWanted = this.stopEmitter.event;

  private readonly changeEmitter = this.register(new EventEmitter<JobEntry>());

  /** Fires when a job has work to place, or room has become free. */
  readonly onJobChanged = this.changeEmitter.event;

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

  /** Takes up the runs that an earlier owner journaled; any of them may be alive. */
  adoptJournaled(): number {
    let adopted = 0;
    for (const { job } of this.jobs.activeJobs) adopted += this.adoptRunsOf(job.liveTasks());
    return adopted;
  }

  /** Plans a run: it counts everywhere from now on. Journal, then order. */
  plan(place: TaskPlace, target: FleetTarget): LiveRun {
    const { run } = place.task.addRun(target.targetId, target.bornMs);
    place.job.markStarted();
    const live = new LiveRun(place, run, target.targetId, target.bornMs);
    this.include(live, target);
    return live;
  }

  journal(place: TaskPlace): Promise<CommitOutcome> {
    const entry = this.jobs.get(place.job.jobId);
    if (!entry) return Promise.resolve('ownership-lost');
    return this.jobs.writeProgress(entry);
  }

  markRunning(live: LiveRun): void {
    if (live.phase === 'stopping') return;
    const nowMs = this.clock.monotonicMs();
    Object.assign(live, { phase: 'running' });
    Object.assign(live, { absenceCountsFromMs: nowMs });
    if (live.startedMs === 0) Object.assign(live, { startedMs: nowMs, progressedMs: nowMs });
  }

  /** Asks for a run's end. It stays accounted for until the target proves that it is gone. */
  stop(live: LiveRun): void {
    if (live.phase === 'stopping') return;
    if (live.phase === 'planned') {
      void this.finish(live, 'lost', '');
      return;
    }
    Object.assign(live, { phase: 'stopping', absenceCountsFromMs: undefined });
    this.stopEmitter.fire(live);
  }

  /** Applies the certain end of a run and journals it; the promise settles when it is durable. */
  finish(live: LiveRun, end: RunEnd, checkpoint: string): Promise<CommitOutcome> {
    const target = this.targets.get(live.targetId);
    const nowMs = this.clock.monotonicMs();
    if (target?.runs.get(live.taskId) !== live) return Promise.resolve('durable');
    target.removeRun(live, nowMs);
    const { job, step } = live.place;
    this.usage.remove(job.definition.teamId, step.spec);
    job.endRun(live.place, live.run, end, checkpoint);
    const runtimeMs = live.startedMs > 0 ? nowMs - live.startedMs : 0;
    if (end === 'done' && runtimeMs > 0) this.estimates.record(job.definition.queueId, runtimeMs);
    if (step.spec.gang && end !== 'done') this.stopGang(live.place);
    const note = {
      jobId: job.jobId,
      taskId: live.taskId,
      run: live.run,
      targetId: live.targetId,
      end,
      phase: live.phase,
      failures: live.place.task.failures,
      runtimeMs: Math.round(runtimeMs),
    };
    // What ended well is told once a step, with its placing and with the job's end.
    if (end === 'done') this.logger.debug('run-ended', note);
    else this.logger.info('run-ended', note);
    this.endedEmitter.fire({ run: live, end, runtimeMs });
    return this.afterEnd(live.place);
  }

  /** Ends a job as a whole and stops what it still runs. */
  finishJob(entry: JobEntry, status: 'completed' | 'failed' | 'cancelled'): Promise<CommitOutcome> {
    const { job } = entry;
    job.finish(status, this.clock.unixMs());
    this.logger.info('job-finished', { jobId: job.jobId, status });
    const commit = this.jobs.writeProgress(entry);
    void commit.then((outcome) => {
      if (outcome === 'durable') this.stopAll(entry);
    });
    return commit;
  }

  liveRunOf(taskId: string, targetId: string): LiveRun | undefined {
    return this.targets.get(targetId)?.runs.get(taskId);
  }

  private afterEnd(place: TaskPlace): Promise<CommitOutcome> {
    const { job } = place;
    const entry = this.jobs.get(job.jobId);
    if (!entry) return Promise.resolve('durable');
    if (job.isFinished) return this.jobs.writeProgress(entry);
    const verdict = RunBook.verdictOf(place);
    if (verdict) return this.finishJob(entry, verdict);
    if (place.task.done) this.stopCopies(place);
    if (place.step.isDone)
      this.logger.info('step-done', { jobId: job.jobId, stepId: place.step.stepId });
    this.changeEmitter.fire(entry);
    return this.jobs.writeProgress(entry);
  }

  private static verdictOf(
    place: TaskPlace,
  ): Extract<JobStatus, 'completed' | 'failed'> | undefined {
    if (place.job.isComplete) return 'completed';
    return place.job.isHopeless(place) ? 'failed' : undefined;
  }

  /** Copies of a task that has ended are of no use any more. */
  private stopCopies({ task }: TaskPlace): void {
    task.runs.forEach((run) => {
      const live = this.liveRunOf(task.taskId, run.targetId);
      if (live) this.stop(live);
    });
  }

  private stopGang({ step }: TaskPlace): void {
    step.tasks.forEach((member) => {
      member.runs.forEach((run) => {
        const live = this.liveRunOf(member.taskId, run.targetId);
        if (live) this.stop(live);
      });
    });
  }

  private stopAll({ job }: JobEntry): void {
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
        // Orders of the earlier owner are refused once the target has seen the new token, so the
        // first report that lacks the run proves that it is not there.
        live.absenceCountsFromMs = 0;
        live.startedMs = this.clock.monotonicMs();
        live.progressedMs = live.startedMs;
        this.include(live, this.targets.ensure(run.targetId));
        adopted += 1;
      });
    });
    return adopted;
  }

  private include(live: LiveRun, target: FleetTarget): void {
    target.addRun(live);
    this.usage.add(live.place.job.definition.teamId, live.place.step.spec);
  }
}
