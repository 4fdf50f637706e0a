/** One execution of all steps of a job. A job without a schedule has exactly one, with index 0. */
import { type JobSpec } from './JobSpec.js';
import { StepState } from './StepState.js';

export class Occurrence {
  readonly steps: StepState[];

  constructor(
    jobId: string,
    readonly index: number,
    spec: JobSpec,
    readonly dueUnixMs: number,
    /** Called after each change of a task. */
    onChanged: () => void = () => undefined,
  ) {
    this.steps = spec.steps.map(
      (step, stepIndex) =>
        new StepState(step, `${jobId}.${index}.${stepIndex}`, stepIndex, onChanged),
    );
  }

  get isDone(): boolean {
    return this.steps.every((step) => step.isDone);
  }

  get hasBegun(): boolean {
    return this.steps.some((step) => step.tasks.some((task) => task.hasBegun));
  }

  /** Steps that are not done and whose predecessors are all done. */
  get openSteps(): StepState[] {
    return this.steps.filter((step) => this.isOpen(step));
  }

  private isOpen(step: StepState): boolean {
    return !step.isDone && step.spec.afterSteps.every((after) => this.steps[after]?.isDone);
  }
}
