/**
 * Sizes of tasks that have found no room in a pass over a pool. Room only shrinks during a pass, so
 * whatever is at least as large and at least as choosy need not be tried. Answers the load in which
 * hundreds of steps wait for a full pool: each then costs one comparison instead of a search.
 */
import { type StepSpec } from '@acaciadock/jobs';

export class RoomBound {
  private readonly refused: StepSpec[] = [];

  /** Notes that no target had room for one more task of the step. */
  note(step: StepSpec): void {
    if (RoomBound.isPlain(step)) this.refused.push(step);
  }

  /** Whether no target can have room for a task of the step. */
  excludes(step: StepSpec): boolean {
    // A gang may fit another rack, and a filling task needs no processor.
    if (step.gang || step.filler) return false;
    return this.refused.some(
      (other) =>
        step.cpuMilli >= other.cpuMilli &&
        step.memoryMb >= other.memoryMb &&
        step.gpuCount >= other.gpuCount,
    );
  }

  /** Whether nothing but room can have been the reason. */
  private static isPlain(step: StepSpec): boolean {
    return !step.filler && !step.gang && step.requiredLabel === '' && step.mostPerTarget === 0;
  }
}
