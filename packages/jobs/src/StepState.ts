/** One step of one occurrence, with the state of its tasks. */
import { type StepSpec } from './JobSpec.js';
import { partOf } from './ProgressPart.js';
import { TaskState } from './TaskState.js';

export class StepState {
  readonly tasks: TaskState[];

  /** Parts of the tasks that have changed since they were last taken for the journal. */
  readonly changedParts = new Set<number>();

  /** Caches `isDone`; undefined after a change of a task. */
  private knownDone: boolean | undefined;

  /** Caches `waitingTasks`; undefined after a change of a task. */
  private knownWaiting: readonly TaskState[] | undefined;

  constructor(
    readonly spec: StepSpec,
    readonly stepId: string,
    readonly index: number,
    /** Called after each change of a task. */
    private readonly onChanged: () => void = () => undefined,
  ) {
    this.tasks = Array.from(
      { length: spec.taskCount },
      (_, task) => new TaskState(`${stepId}.${task}`, task, () => this.recordChange(task)),
    );
  }

  get isDone(): boolean {
    this.knownDone ??= this.tasks.every((task) => task.done);
    return this.knownDone;
  }

  get waitingTasks(): readonly TaskState[] {
    this.knownWaiting ??= this.tasks.filter((task) => task.isWaiting);
    return this.knownWaiting;
  }

  get hasStarted(): boolean {
    return this.tasks.some((task) => task.lastRun > 0);
  }

  private recordChange(task: number): void {
    this.changedParts.add(partOf(task));
    this.knownDone = undefined;
    this.knownWaiting = undefined;
    this.onChanged();
  }
}
