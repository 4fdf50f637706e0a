/**
 * Logs the jobs that have had nothing running for a while beside targets with room for them, with the
 * state of the task that they wait for. Nothing is decided about such a job, so no other line shows it.
 * Of a step that runs for good, each task has to run.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { type Job, type StepState, type TaskState } from '@acaciadock/jobs';
import { type JobEntry } from './JobEntry.js';
import { type JobScheduler } from './JobScheduler.js';
import { type JobTable } from './JobTable.js';
import { type RunTracker } from './RunTracker.js';

const CHECK_PERIOD_MS = 1_000;

/** A job is logged once it has waited for this long, in milliseconds. */
const LOG_AFTER_MS = 3_000;

/** Jobs of which a check looks for room, those that wait the longest. */
const MAX_CHECKED_JOBS = 50;

const MAX_LINES_PER_CHECK = 3;

interface Wait {
  readonly entry: JobEntry;
  readonly step: StepState;
  readonly task: TaskState;
  readonly sinceMs: number;
}

export interface WaitLogDeps {
  readonly jobs: JobTable;
  readonly runTracker: RunTracker;
  readonly scheduler: JobScheduler;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class WaitLog {
  /** What each job waits for, since it was first seen waiting for that. */
  private waits = new Map<Job, Wait>();

  private checkedMs = -Infinity;

  constructor(private readonly deps: WaitLogDeps) {}

  check(): void {
    const nowMs = this.deps.clock.monotonicMs();
    if (nowMs - this.checkedMs < CHECK_PERIOD_MS) return;
    this.checkedMs = nowMs;
    const waits = new Map<Job, Wait>();
    for (const entry of this.deps.jobs.activeJobs) {
      const wait = this.waitOf(entry, nowMs);
      if (wait) waits.set(entry.job, wait);
    }
    this.waits = waits;
    [...waits.values()]
      .filter(({ sinceMs }) => nowMs - sinceMs >= LOG_AFTER_MS)
      .sort((a, b) => a.sinceMs - b.sinceMs)
      .slice(0, MAX_CHECKED_JOBS)
      .filter(({ entry, step }) => this.deps.scheduler.hasRoomFor(entry, step))
      .slice(0, MAX_LINES_PER_CHECK)
      .forEach((wait) => this.log(wait, nowMs));
  }

  private waitOf(entry: JobEntry, nowMs: number): Wait | undefined {
    const open = [...entry.job.occurrences.values()].flatMap(({ openSteps }) => openSteps);
    const isAtWork = open.some(
      (step) => !step.spec.longRunning && step.tasks.some((task) => this.isRunning(task)),
    );
    for (const step of open) {
      const mustRun = step.spec.longRunning || !isAtWork;
      const task = mustRun
        ? step.tasks.find((one) => !one.done && !this.isRunning(one))
        : undefined;
      if (task)
        return this.waits.get(entry.job)?.task === task
          ? this.waits.get(entry.job)
          : { entry, step, task, sinceMs: nowMs };
    }
    return undefined;
  }

  private isRunning({ taskId, runs }: TaskState): boolean {
    if (runs.length === 0) return false;
    return this.deps.runTracker.liveRunsOf(taskId).some(({ phase }) => phase === 'running');
  }

  private log({ entry, step, task, sinceMs }: Wait, nowMs: number): void {
    const { runTracker, scheduler, logger } = this.deps;
    const [live] = runTracker.liveRunsOf(task.taskId);
    const phase = live?.phase ?? (task.isWaiting ? 'waiting' : 'untracked');
    logger.warn('job-waits', {
      jobId: entry.job.jobId,
      taskId: task.taskId,
      poolId: scheduler.poolOf(entry),
      waitedMs: Math.round(nowMs - sinceMs),
      phase,
      targetId: live?.targetId,
      lastRun: task.lastRun,
      isSuspect: task.isSuspect,
      waitingTasks: step.waitingTasks.length,
    });
  }
}
