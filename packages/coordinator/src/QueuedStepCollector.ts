/** Collects the steps with waiting tasks and computes the values for their queue order. */
import { type Clock } from '@acaciadock/core';
import {
  type JobsConfigView,
  criticalPathMs,
  type Occurrence,
  type StepSpec,
  type StepState,
  type TaskState,
} from '@acaciadock/jobs';
import { type RuntimeEstimates } from '@acaciadock/placement';
import { type JobEntry } from './JobEntry.js';
import { type JobTable } from './JobTable.js';
import { plannedTimesOf } from './plannedTimes.js';
import { type QueuedStep } from './QueuedStep.js';
import { type TargetTable } from './TargetTable.js';

/** Time to live of a cached `QueuedStep`, in milliseconds: runtime estimates change slowly. */
const CACHE_TTL_MS = 250;

interface CachedStep {
  readonly createdAtMs: number;
  /** The cached step, which has open tasks. */
  readonly open: QueuedStep;
}

export interface QueuedStepCollectorDeps {
  readonly jobs: JobTable;
  readonly targets: TargetTable;
  readonly estimates: RuntimeEstimates;
  readonly clock: Clock;
  readonly config: () => JobsConfigView;
}

export class QueuedStepCollector {
  private readonly cache = new WeakMap<StepState, CachedStep>();

  constructor(private readonly deps: QueuedStepCollectorDeps) {}

  /** The pool that runs the job: that of its queue, else the one it was accepted for. */
  poolOf({ job }: JobEntry): string {
    const { queueId, poolId } = job.definition;
    return this.deps.config().queue(queueId)?.poolId ?? poolId;
  }

  /** The steps with waiting tasks in the given pools, by pool. */
  collect(pools: ReadonlySet<string>): Map<string, QueuedStep[]> {
    const byPool = new Map<string, QueuedStep[]>();
    const nowMs = this.deps.clock.monotonicMs();
    for (const entry of this.deps.jobs.activeJobs) {
      if (entry.job.waitingSteps.length === 0) continue;
      const poolId = this.poolOf(entry);
      if (!pools.has(poolId)) continue;
      const steps = byPool.get(poolId) ?? [];
      this.collectJob(entry, nowMs, steps);
      byPool.set(poolId, steps);
    }
    return byPool;
  }

  private collectJob(entry: JobEntry, nowMs: number, into: QueuedStep[]): void {
    for (const { occurrence, step } of entry.job.waitingSteps) {
      if (step.waitingTasks.some((task) => task.notBeforeMs <= nowMs))
        into.push(this.cachedOrCreate(entry, occurrence, step, nowMs));
    }
  }

  /** The step with the values for its queue order. */
  cachedOrCreate(
    entry: JobEntry,
    occurrence: Occurrence,
    step: StepState,
    nowMs: number,
  ): QueuedStep {
    const known = this.cache.get(step);
    const hasStarted = QueuedStepCollector.hasStarted(occurrence);
    const isValid = known?.open.hasStarted === hasStarted;
    if (known && isValid && nowMs - known.createdAtMs < CACHE_TTL_MS) return known.open;
    const open = this.createQueuedStep(entry, occurrence, step, hasStarted);
    this.cache.set(step, { createdAtMs: nowMs, open });
    return open;
  }

  /** Whether tasks run or are done. Runs that have failed don't count, as nothing of them is left. */
  private static hasStarted({ steps }: Occurrence): boolean {
    return steps.some(({ tasks }) => tasks.some(({ done, runs }) => done || runs.length > 0));
  }

  private createQueuedStep(
    entry: JobEntry,
    occurrence: Occurrence,
    step: StepState,
    hasStarted: boolean,
  ): QueuedStep {
    const { definition } = entry.job;
    const runtimeMsOf = (spec: StepSpec, index: number): number =>
      this.runtimeMsOf(entry, occurrence, spec, index);
    const { objectiveMs } = plannedTimesOf(definition, runtimeMsOf);
    const remainingMs = criticalPathMs(definition.spec.steps, (spec, index) =>
      occurrence.steps[index]?.isDone ? 0 : runtimeMsOf(spec, index),
    );
    return {
      entry,
      occurrence,
      step,
      priority: this.deps.config().queue(definition.queueId)?.priority ?? definition.priority,
      isLongRunning: step.spec.longRunning,
      objectiveMs,
      objectiveUnixMs: occurrence.dueUnixMs + objectiveMs,
      remainingMs,
      isBeyondShare: definition.isBeyondShare,
      hasStarted,
      hasReturned: entry.hasReturned,
    };
  }

  /**
   * Expected runtime of a step: the longest total of its tasks, of which those that have not started
   * take the mean of the queue.
   */
  private runtimeMsOf(
    { job }: JobEntry,
    occurrence: Occurrence,
    spec: StepSpec,
    index: number,
  ): number {
    const { queueId } = job.definition;
    const step = occurrence.steps[index];
    const meanMs = this.deps.estimates.meanMs(queueId, spec.estimatedRuntimeMs);
    if (!step?.hasStarted || spec.longRunning) return meanMs;
    return step.tasks.reduce(
      (longestMs, task) => Math.max(longestMs, this.totalMsOf(task, spec, queueId) ?? meanMs),
      0,
    );
  }

  /** Runtime of a task that is done, or expected total of its oldest run; undefined if unknown. */
  private totalMsOf(task: TaskState, spec: StepSpec, queueId: string): number | undefined {
    if (task.runtimeMs > 0) return task.runtimeMs;
    const targetId = task.runs[0]?.targetId;
    const live = targetId && this.deps.targets.get(targetId)?.runs.get(task.taskId);
    if (!live || live.startedMs === 0) return undefined;
    if (live.projectedTotalMs > 0) return live.projectedTotalMs;
    const ageMs = this.deps.clock.monotonicMs() - live.startedMs;
    return this.deps.estimates.expectedTotalMs(queueId, ageMs, spec.estimatedRuntimeMs);
  }
}
