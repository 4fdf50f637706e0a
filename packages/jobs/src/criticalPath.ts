/** Computes the critical path of a job. */
import { type StepSpec } from './JobSpec.js';

/**
 * Returns the length of the critical path: the milliseconds from the start of the first step to the
 * end of the last if no step waits in the queue. `runtimeMs` returns the run time of each step. If
 * it returns 0 for the steps that are done, the result is the remaining time.
 */
export function criticalPathMs(
  steps: readonly StepSpec[],
  runtimeMs: (step: StepSpec, index: number) => number,
): number {
  const endMs: number[] = [];
  steps.forEach((step, index) => {
    const readyMs = Math.max(0, ...step.afterSteps.map((after) => endMs[after] ?? 0));
    endMs.push(readyMs + runtimeMs(step, index));
  });
  return Math.max(0, ...endMs);
}
