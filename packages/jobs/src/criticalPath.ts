/** The longest chain of work through a job's steps. */
import { type StepSpec } from './JobSpec.js';

/**
 * Milliseconds from the start of the first step to the end of the last when nothing waits, with
 * the run time of each step given by `runtimeMs`. Steps that are done count nothing.
 */
export function longestChainMs(
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
