/**
 * Lower bound on the number of instances for a set of tasks that can't be divided. Of the tasks that
 * need more than 1/(k+1) of an instance's memory or GPUs, at most k run on one instance. A sum of
 * amounts alone misses this: three tasks of 45 GB use 135 GB, but need two instances of 128 GB. CPU
 * is not bounded here, because its usable share already allows for what tasks leave free. The
 * bound also covers the maximum number of tasks per target of long-running steps.
 */
import { type StepSpec } from '@acaciadock/jobs';
import { type Resources } from './ResourceVector.js';

/** Tasks of which more than this many fit on an instance are covered by the sum of amounts. */
export const MAX_COUNTED_TASKS = 16;

export class TaskFitBound {
  /** Weighted number of tasks of which exactly k fit on an instance, by k; not used at 0. */
  private readonly memoryCounts = new Float64Array(MAX_COUNTED_TASKS + 1);

  private readonly gpuCounts = new Float64Array(MAX_COUNTED_TASKS + 1);

  /** Tasks by id of their step, for long-running steps with a maximum per target. */
  private readonly limitedSteps = new Map<string, { most: number; count: number }>();

  constructor(private readonly capacity: Resources) {}

  /** Adds tasks; a weight below 1 means that a task may share its place with later ones. */
  add(stepId: string, spec: StepSpec, weight: number): void {
    const { memoryMb, gpuCount } = this.capacity;
    this.memoryCounts[TaskFitBound.fittingCount(memoryMb, spec.memoryMb)]! += weight;
    this.gpuCounts[TaskFitBound.fittingCount(gpuCount, spec.gpuCount)]! += weight;
    if (!spec.longRunning || spec.mostPerTarget === 0) return;
    const known = this.limitedSteps.get(stepId);
    if (known) known.count += weight;
    else this.limitedSteps.set(stepId, { most: spec.mostPerTarget, count: weight });
  }

  get byMemory(): number {
    return TaskFitBound.boundOf(this.memoryCounts);
  }

  get byGpu(): number {
    return TaskFitBound.boundOf(this.gpuCounts);
  }

  get byTaskLimit(): number {
    const bounds = [...this.limitedSteps.values()].map(({ most, count }) => count / most);
    return Math.ceil(Math.max(0, ...bounds));
  }

  /** Number of such tasks that fit on an instance; 0 if they are not to be counted. */
  private static fittingCount(capacity: number, size: number): number {
    // No growth of the pool helps a task that fits on no instance.
    if (size === 0 || size > capacity) return 0;
    const fitting = Math.floor(capacity / size);
    return fitting > MAX_COUNTED_TASKS ? 0 : fitting;
  }

  private static boundOf(counts: Float64Array): number {
    let bound = 0;
    let count = 0;
    for (let fitting = 1; fitting < counts.length; fitting += 1) {
      count += counts[fitting] ?? 0;
      bound = Math.max(bound, count / fitting);
    }
    return Math.ceil(bound);
  }
}
