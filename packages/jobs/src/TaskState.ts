/**
 * One task: how often it failed, which of its runs may still be alive, and where to resume. A run
 * counts as alive from before its order leaves until its end, or the end of its lease, is certain.
 */

/** A start of a task. The run number rises with every start and is never used twice. */
export interface TaskRun {
  readonly run: number;
  readonly targetId: string;
  /** Start of the target's lifetime that the order was meant for, Unix milliseconds. */
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

  /** Where the last failure happened; the next try goes elsewhere if it can. */
  avoidTargetId = '';

  /** No start before this monotonic time. */
  notBeforeMs = 0;

  constructor(
    readonly taskId: string,
    readonly index: number,
  ) {}

  /** Whether a new start is due. */
  get isWaiting(): boolean {
    return !this.done && this.runs.length === 0;
  }

  addRun(targetId: string, bornMs: number): TaskRun {
    this.lastRun += 1;
    const run = { run: this.lastRun, targetId, bornMs };
    this.runs = [...this.runs, run];
    return run;
  }

  removeRun(run: number): void {
    this.runs = this.runs.filter((other) => other.run !== run);
  }

  markDone(): void {
    this.done = true;
  }

  /** An empty checkpoint says nothing new. */
  noteCheckpoint(checkpoint: string): void {
    if (checkpoint !== '') this.checkpoint = checkpoint;
  }

  /** The next start goes elsewhere if it can. */
  noteAvoided(targetId: string): void {
    this.avoidTargetId = targetId;
  }

  noteFailure(targetId: string): void {
    this.failures += 1;
    this.avoidTargetId = targetId;
  }

  hasRun(run: number): boolean {
    return this.runs.some((other) => other.run === run);
  }

  /** The durable form; undefined for a task that was never touched. */
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
  }
}
