/**
 * One task: its failures, the runs that may still be alive, and its checkpoint. A run counts as
 * alive from before its start order is sent until its end, or the expiry of its lease, is certain.
 */

/** One start of a task. The run number rises with every start and is never reused. */
export interface TaskRun {
  readonly run: number;
  readonly targetId: string;
  /** Start of the target lifetime that the order was addressed to, Unix milliseconds. */
  readonly bornMs: number;
}

export interface TaskRecord {
  readonly done: boolean;
  readonly failures: number;
  readonly lastRun: number;
  readonly checkpoint: string;
  readonly runs: readonly TaskRun[];
}

export class TaskState {
  done = false;

  failures = 0;

  lastRun = 0;

  checkpoint = '';

  runs: TaskRun[] = [];

  /**
   * The target to avoid on the next start if another one fits: that of the last run that failed or
   * was given up. Empty if there is none.
   */
  avoidTargetId = '';

  /** Runtime of the run that was done, in milliseconds; 0 if unknown. Not kept by a new owner. */
  runtimeMs = 0;

  /** The task must not be started before this monotonic time. */
  notBeforeMs = 0;

  private isBegun = false;

  constructor(
    readonly taskId: string,
    readonly index: number,
    /** Called after each change of `done` or `runs`. */
    private readonly onChanged: () => void = () => undefined,
  ) {}

  /**
   * Whether a run of the task has certainly begun on a target. A run that is planned may never begin,
   * and one that a previous owner planned counts only once its target has listed it.
   */
  get hasBegun(): boolean {
    return this.isBegun || this.done || this.failures > 0 || this.checkpoint !== '';
  }

  markBegun(): void {
    this.isBegun = true;
  }

  /** Whether the task needs a new start. */
  get isWaiting(): boolean {
    return !this.done && this.runs.length === 0;
  }

  addRun(targetId: string, bornMs: number): TaskRun {
    this.lastRun += 1;
    const run = { run: this.lastRun, targetId, bornMs };
    this.runs = [...this.runs, run];
    this.onChanged();
    return run;
  }

  removeRun(run: number): void {
    this.runs = this.runs.filter((other) => other.run !== run);
    this.onChanged();
  }

  markDone(): void {
    this.done = true;
    this.onChanged();
  }

  /** Stores a checkpoint; an empty one leaves the previous checkpoint in place. */
  recordCheckpoint(checkpoint: string): void {
    if (checkpoint !== '') this.checkpoint = checkpoint;
  }

  /** Makes the next start avoid the target if another one fits. */
  recordAvoidedTarget(targetId: string): void {
    this.avoidTargetId = targetId;
  }

  recordFailure(targetId: string): void {
    this.failures += 1;
    this.avoidTargetId = targetId;
  }

  hasRun(run: number): boolean {
    return this.runs.some((other) => other.run === run);
  }

  /** Returns the stored form; undefined for a task that was never started and is not done. */
  toRecord(): TaskRecord | undefined {
    const { done, failures, lastRun, checkpoint, runs } = this;
    if (lastRun === 0 && !done) return undefined;
    return { done, failures, lastRun, checkpoint, runs };
  }

  restore(record: TaskRecord): void {
    this.done = record.done;
    this.failures = record.failures;
    this.lastRun = record.lastRun;
    this.checkpoint = record.checkpoint;
    this.runs = [...record.runs];
    this.onChanged();
  }
}
