/**
 * Remembers which task sizes did not fit during one placement pass over a pool. Free capacity only
 * shrinks during a pass, so a step that needs at least as much of every resource is rejected
 * without a search. When hundreds of steps wait for a full pool, each one then costs a few
 * comparisons.
 */
import { type StepSpec } from '@acaciadock/jobs';

export class RejectedSizes {
  private readonly refused: StepSpec[] = [];

  /** Records that no target had room for another task of the step. */
  note(step: StepSpec): void {
    if (RejectedSizes.isCapacityBound(step)) this.refused.push(step);
  }

  /** Whether no target can have room for a task of the step. */
  excludes(step: StepSpec): boolean {
    // A gang may fit in another rack, and a filler task needs no free CPU.
    if (step.gang || step.filler) return false;
    return this.refused.some(
      (other) =>
        step.cpuMilli >= other.cpuMilli &&
        step.memoryMb >= other.memoryMb &&
        step.gpuCount >= other.gpuCount,
    );
  }

  /** Whether a lack of capacity is the only possible reason for not placing a task of the step. */
  private static isCapacityBound(step: StepSpec): boolean {
    return !step.filler && !step.gang && step.requiredLabel === '' && step.mostPerTarget === 0;
  }
}
