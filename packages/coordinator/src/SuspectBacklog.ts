/**
 * Tracks, pool by pool, the tasks that are suspected of crashing targets and wait for one that is kept
 * for suspects. Their number is logged, as they wait by themselves while the pool has room for others.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { type TaskState } from '@acaciadock/jobs';
import { type FleetTarget } from './FleetTarget.js';
import { type QueuedStep } from './QueuedStep.js';

/** Interval of the log line of a pool, in milliseconds. */
const LOG_PERIOD_MS = 1_000;

export class SuspectBacklog {
  private readonly jobCounts = new Map<string, number>();

  private readonly waitingSinceMs = new WeakMap<TaskState, number>();

  private readonly loggedMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Records the suspects that a pass over the pool has left waiting, of all its queued steps. */
  record(poolId: string, steps: readonly QueuedStep[], openTargets: readonly FleetTarget[]): void {
    const waiting = steps
      .filter(({ step }) => !step.spec.gang)
      .map(({ entry, step }) => ({
        jobId: entry.job.jobId,
        tasks: step.waitingTasks.filter((task) => task.isSuspect),
      }))
      .filter(({ tasks }) => tasks.length > 0);
    const tasks = waiting.flatMap((one) => one.tasks);
    const jobCount = new Set(waiting.map(({ jobId }) => jobId)).size;
    this.jobCounts.set(poolId, jobCount);
    const oldestMs = this.oldestMs(tasks);
    if (jobCount > 0)
      this.log(poolId, { jobs: jobCount, tasks: tasks.length, oldestMs }, openTargets);
  }

  /** Number of jobs with waiting suspects after the last pass over the pool. */
  jobCount(poolId: string): number {
    return this.jobCounts.get(poolId) ?? 0;
  }

  /** How long the first of the tasks has been waiting, as far as passes have seen. */
  private oldestMs(tasks: readonly TaskState[]): number {
    const nowMs = this.clock.monotonicMs();
    const agesMs = tasks.map((task) => {
      const sinceMs = this.waitingSinceMs.get(task) ?? nowMs;
      this.waitingSinceMs.set(task, sinceMs);
      return nowMs - sinceMs;
    });
    return Math.max(0, ...agesMs);
  }

  private log(
    poolId: string,
    backlog: { readonly jobs: number; readonly tasks: number; readonly oldestMs: number },
    openTargets: readonly FleetTarget[],
  ): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - (this.loggedMs.get(poolId) ?? -Infinity) < LOG_PERIOD_MS) return;
    this.loggedMs.set(poolId, nowMs);
    this.logger.info('suspects-waiting', {
      poolId,
      ...backlog,
      oldestMs: Math.round(backlog.oldestMs),
      openTargets: openTargets.length,
      isolatedTargets: openTargets.filter(({ isolatedJobId }) => isolatedJobId !== '').length,
    });
  }
}
