/**
 * Tracks, pool by pool, the tasks that are suspected of crashing targets and wait for one that is kept
 * for suspects. They are logged, as they may wait while the pool has room for other tasks.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { type TaskState } from '@acaciadock/jobs';
import { type FleetTarget } from './FleetTarget.js';
import { type QueuedStep } from './QueuedStep.js';

/** Interval of the log line of a pool, in milliseconds. */
const LOG_PERIOD_MS = 1_000;

/** When a task was first seen waiting after its last run. */
interface Wait {
  readonly lastRun: number;
  readonly sinceMs: number;
}

export class SuspectBacklog {
  private readonly jobCounts = new Map<string, number>();

  private readonly waits = new WeakMap<TaskState, Wait>();

  private readonly loggedMs = new Map<string, number>();

  /** Monotonic time of the owner's claim; the journal has no time from which a wait before it counts. */
  private readonly claimedMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.claimedMs = clock.monotonicMs();
  }

  /** The waiting suspects of a step. Members of a gang can't be kept apart, so they don't count. */
  static suspectsOf({ step }: QueuedStep): readonly TaskState[] {
    return step.spec.gang ? [] : step.waitingTasks.filter((task) => task.isSuspect);
  }

  /** Number of jobs with waiting suspects in the steps. */
  static countJobs(steps: readonly QueuedStep[]): number {
    return new Set(
      steps
        .filter((queued) => SuspectBacklog.suspectsOf(queued).length > 0)
        .map(({ entry }) => entry.job.jobId),
    ).size;
  }

  /** Records the suspects that a pass over the pool has left waiting, of all its queued steps. */
  record(poolId: string, steps: readonly QueuedStep[], openTargets: readonly FleetTarget[]): void {
    const jobs = SuspectBacklog.countJobs(steps);
    this.jobCounts.set(poolId, jobs);
    if (jobs === 0) return;
    const tasks = steps.flatMap((queued) => SuspectBacklog.suspectsOf(queued));
    const oldestMs = Math.max(...tasks.map((task) => this.waitedMs(task)));
    this.log(poolId, { jobs, tasks: tasks.length, oldestMs: Math.round(oldestMs) }, openTargets);
  }

  /** Number of jobs with waiting suspects after the last pass over the pool. */
  jobCount(poolId: string): number {
    return this.jobCounts.get(poolId) ?? 0;
  }

  /** How long the task has been waiting since its last run, as far as passes have seen. */
  private waitedMs(task: TaskState): number {
    const nowMs = this.clock.monotonicMs();
    const known = this.waits.get(task);
    if (known?.lastRun === task.lastRun) return nowMs - known.sinceMs;
    this.waits.set(task, { lastRun: task.lastRun, sinceMs: nowMs });
    return 0;
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
      sinceClaimMs: Math.round(nowMs - this.claimedMs),
      openTargets: openTargets.length,
      isolatedTargets: openTargets.filter(({ isIsolated }) => isIsolated).length,
    });
  }
}
