/** One step of one occurrence, with the state of its tasks. */
import { type StepSpec } from './JobSpec.js';
import { TaskState } from './TaskState.js';

export class StepState {
  readonly tasks: TaskState[];

  private wasDone = false;

  constructor(
    readonly spec: StepSpec,
    readonly stepId: string,
    readonly index: number,
  ) {
    this.tasks = Array.from(
      { length: spec.taskCount },
      (_, task) => new TaskState(`${stepId}.${task}`, task),
    );
  }

  /** Cached once true: a task that is done stays done, and so does the step. */
  get isDone(): boolean {
    this.wasDone ||= this.tasks.every((task) => task.done);
    return this.wasDone;
  }

  get waitingTasks(): TaskState[] {
    return this.tasks.filter((task) => task.isWaiting);
  }

  get hasStarted(): boolean {
    return this.tasks.some((task) => task.lastRun > 0);
  }
}
