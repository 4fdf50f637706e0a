/** Collects the steps with waiting tasks and computes the values for their queue order. */
import { type Clock } from '@acaciadock/core';
import {
  type JobsConfigView,
  criticalPathMs,
  type Occurrence,
  type StepState,
} from '@acaciadock/jobs';
import { type RuntimeEstimates } from '@acaciadock/placement';
import { type JobEntry } from './JobEntry.js';
import { type JobTable } from './JobTable.js';
import { plannedTimesOf } from './plannedTimes.js';
import { type QueuedStep } from './QueuedStep.js';

/** Time to live of a cached `QueuedStep`, in milliseconds: runtime estimates change slowly. */
const CACHE_TTL_MS = 250;

interface CachedStep {
  readonly createdAtMs: number;
  /** The cached step, which has open tasks. */
  readonly open: QueuedStep;
}

export interface QueuedStepCollectorDeps {
  readonly jobs: JobTable;
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
      const poolId = this.poolOf(entry);
      if (!pools.has(poolId)) continue;
      const steps = byPool.get(poolId) ?? [];
      this.collectJob(entry, nowMs, steps);
      byPool.set(poolId, steps);
    }
    return byPool;
  }

  private collectJob(entry: JobEntry, nowMs: number, into: QueuedStep[]): void {
    for (const occurrence of entry.job.occurrences.values()) {
      for (const step of occurrence.openSteps) {
        const isWaiting = step.tasks.some((task) => task.isWaiting && task.notBeforeMs <= nowMs);
        if (isWaiting) into.push(this.cachedOrCreate(entry, occurrence, step, nowMs));
      }
    }
  }

  private cachedOrCreate(
    entry: JobEntry,
    occurrence: Occurrence,
    step: StepState,
    nowMs: number,
  ): QueuedStep {
    const known = this.cache.get(step);
    if (known && nowMs - known.createdAtMs < CACHE_TTL_MS) return known.open;
    const open = this.createQueuedStep(entry, occurrence, step);
    this.cache.set(step, { createdAtMs: nowMs, open });
    return open;
  }

  private createQueuedStep(entry: JobEntry, occurrence: Occurrence, step: StepState): QueuedStep {
    const { definition } = entry.job;
    const { objectiveMs } = plannedTimesOf(definition, this.deps.estimates);
    const remainingMs = criticalPathMs(definition.spec.steps, (spec, index) =>
      occurrence.steps[index]?.isDone
        ? 0
        : this.deps.estimates.meanMs(definition.queueId, spec.estimatedRuntimeMs),
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
      hasReturned: entry.hasReturned,
    };
  }
}
