/** Finds the steps that wait for a start and describes them for the order of the queue. */
import { type Clock } from '@acaciadock/core';
import {
  type JobsConfigView,
  longestChainMs,
  type Occurrence,
  type StepState,
} from '@acaciadock/jobs';
import { type RuntimeEstimates } from '@acaciadock/placement';
import { type JobEntry } from './JobEntry.js';
import { type JobTable } from './JobTable.js';
import { type OpenStep } from './OpenStep.js';

/** A description of a waiting step is used this long, in milliseconds: estimates move slowly. */
const DESCRIPTION_MS = 250;

interface Description {
  readonly atMs: number;
  readonly open: OpenStep;
}

export interface OpenStepReaderDeps {
  readonly jobs: JobTable;
  readonly estimates: RuntimeEstimates;
  readonly clock: Clock;
  readonly config: () => JobsConfigView;
}

export class OpenStepReader {
  private readonly descriptions = new WeakMap<StepState, Description>();

  constructor(private readonly deps: OpenStepReaderDeps) {}

  /** The pool that runs the job now: its queue's, or the one it was accepted for. */
  poolOf({ job }: JobEntry): string {
    const { queueId, poolId } = job.definition;
    return this.deps.config().queue(queueId)?.poolId ?? poolId;
  }

  /** The waiting steps of some pools. */
  collect(pools: ReadonlySet<string>): Map<string, OpenStep[]> {
    const byPool = new Map<string, OpenStep[]>();
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

  private collectJob(entry: JobEntry, nowMs: number, into: OpenStep[]): void {
    for (const occurrence of entry.job.occurrences.values()) {
      for (const step of occurrence.openSteps) {
        const isWaiting = step.tasks.some((task) => task.isWaiting && task.notBeforeMs <= nowMs);
        if (isWaiting) into.push(this.described(entry, occurrence, step, nowMs));
      }
    }
  }

  private described(
    entry: JobEntry,
    occurrence: Occurrence,
    step: StepState,
    nowMs: number,
  ): OpenStep {
    const known = this.descriptions.get(step);
    if (known && nowMs - known.atMs < DESCRIPTION_MS) return known.open;
    const open = this.describe(entry, occurrence, step);
    this.descriptions.set(step, { atMs: nowMs, open });
    return open;
  }

  private describe(entry: JobEntry, occurrence: Occurrence, step: StepState): OpenStep {
    const { definition } = entry.job;
    const objectiveMs = this.objectiveMsOf(entry);
    const remainingMs = longestChainMs(definition.spec.steps, (spec, index) =>
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
    };
  }

  /** When the whole job should have ended, milliseconds after its acceptance. */
  private objectiveMsOf({ job }: JobEntry): number {
    const { stretch, targetLatencyMs, queueId, spec } = job.definition;
    const chainMs = longestChainMs(spec.steps, (step) =>
      this.deps.estimates.meanMs(queueId, step.estimatedRuntimeMs),
    );
    return stretch * chainMs + targetLatencyMs;
  }
}
