/**
 * One task: its failures, the crashes of targets that ran it, the runs that may still be alive, and
 * its checkpoint. A run counts as
 * alive from before its start order is sent until its end, or the expiry of its lease, is certain.
 */

/** One start of a task. The run number rises with every start and is never reused. */
export interface TaskRun {
  readonly run: number;
  readonly targetId: string;
  /** Start of the target lifetime that the order was addressed to, Unix milliseconds. */
  readonly bornMs: number;
  /**
   * The task is suspected of crashing targets, and no task of another job had only just started on
   * the target. Omitted if not.
   */
  readonly isAlone?: boolean | undefined;
}

/** Names the records that have a checkpoint which is too long for the record of its task. */
export interface CheckpointRef {
  readonly digest: string;
  /** Number of records. */
  readonly parts: number;
}

/** A checkpoint that has records of its own. */
export interface StoredCheckpoint {
  readonly ref: CheckpointRef;
  readonly text: string;
}

/** Longest checkpoint that is stored in the record of its task, in bytes as they are stored. */
const MAX_INLINE_BYTES = 66;

export interface TaskRecord {
  readonly done: boolean;
  readonly failures: number;
  readonly lastRun: number;
  readonly checkpoint: string;
  /** Omitted if the checkpoint is short enough to be stored here. */
  readonly checkpointRef?: CheckpointRef | undefined;
  readonly runs: readonly TaskRun[];
  /** Omitted if no target has crashed while the task ran there. */
  readonly crashes?: number | undefined;
  readonly earlyCrashes?: number | undefined;
}

/** What is known about the run of a task whose target has crashed. */
export interface RunCrash {
  /** The run had only just started, as far as is known. */
  readonly isEarly: boolean;
  /**
   * The crash counts against the task: the run had certainly begun, or it was alone on the target. The
   * start of any other run may have reached a target that was already down.
   */
  readonly isCounted: boolean;
}

export class TaskState {
  done = false;

  failures = 0;

  lastRun = 0;

  /** Targets that crashed while the task ran there. */
  crashes = 0;

  /** Those of them that crashed soon after they had started the task, in a row. */
  earlyCrashes = 0;

  /** The task is not started again, because it crashes the targets that start it. */
  isGivenUp = false;

  checkpoint = '';

  /** The newest checkpoint that is stored in records of its own. */
  storedCheckpoint: StoredCheckpoint | undefined;

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

  /** The checkpoint whose length was measured last, and whether it is short. */
  private lastMeasured = '';

  private isLastShort = true;

  private isBegun = false;

  /** A target may have crashed because it started the task. Not kept by a new owner. */
  private isSuspected = false;

  /**
   * A target has run the task for a while without a crash, and none has crashed since right after it
   * started the task. Not kept by a new owner.
   */
  hasSettled = false;

  /** Whether the task starts as a suspect because of what other tasks of its queue seem to do. */
  isCautious = false;

  constructor(
    readonly taskId: string,
    readonly index: number,
    /** Called after each change of `done` or `runs`, which come with every change of the stored form. */
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

  addRun(targetId: string, bornMs: number, isAlone = false): TaskRun {
    this.lastRun += 1;
    const run = { run: this.lastRun, targetId, bornMs, ...(isAlone ? { isAlone } : {}) };
    this.runs = [...this.runs, run];
    this.onChanged();
    return run;
  }

  removeRun(run: number): void {
    this.runs = this.runs.filter((other) => other.run !== run);
    this.onChanged();
  }

  /** The task is not started again, so that its checkpoint is not needed any more. */
  markDone(): void {
    this.done = true;
    this.checkpoint = '';
    this.storedCheckpoint = undefined;
    this.onChanged();
  }

  /** Stores a checkpoint; an empty one leaves the previous checkpoint in place. */
  recordCheckpoint(checkpoint: string): void {
    if (checkpoint !== '' && !this.done) this.checkpoint = checkpoint;
  }

  /** Whether the checkpoint is short enough to be stored in the record of the task. */
  get hasShortCheckpoint(): boolean {
    const { checkpoint } = this;
    if (checkpoint.length > MAX_INLINE_BYTES) return false;
    // Each batch asks this of every task of the changed jobs.
    if (checkpoint !== this.lastMeasured) {
      this.isLastShort = Buffer.byteLength(JSON.stringify(checkpoint)) <= MAX_INLINE_BYTES;
      this.lastMeasured = checkpoint;
    }
    return this.isLastShort;
  }

  /** Whether the checkpoint is to be stored in records of its own before that of the task. */
  get needsStoredCheckpoint(): boolean {
    return !this.hasShortCheckpoint && this.storedCheckpoint?.text !== this.checkpoint;
  }

  /** Makes the next start avoid the target if another one fits. */
  recordAvoidedTarget(targetId: string): void {
    this.avoidTargetId = targetId;
  }

  recordFailure(targetId: string): void {
    this.failures += 1;
    this.avoidTargetId = targetId;
  }

  /** Whether the task may crash the targets that start it. */
  get isSuspect(): boolean {
    return this.earlyCrashes > 0 || this.isSuspected || this.isCautious;
  }

  markSuspected(): void {
    this.isSuspected = true;
  }

  recordCrash({ isEarly, isCounted }: RunCrash): void {
    if (isCounted) this.crashes += 1;
    if (isEarly && isCounted) this.earlyCrashes += 1;
    if (!isEarly) return;
    this.isSuspected = true;
    this.hasSettled = false;
  }

  /**
   * Clears the suspicion: a target runs the task and has not crashed. A task that runs for good is
   * bound to be under a crash now and then, so its crashes are counted anew. Returns whether anything
   * of the stored form has changed.
   */
  clearSuspicion(isLongRunning: boolean): boolean {
    this.isSuspected = false;
    this.isCautious = false;
    this.hasSettled = true;
    if (isLongRunning) this.crashes = 0;
    const isStored = this.earlyCrashes > 0 || this.runs.some(({ isAlone }) => isAlone === true);
    if (!isStored) return false;
    this.earlyCrashes = 0;
    this.runs = this.runs.map(({ run, targetId, bornMs }) => ({ run, targetId, bornMs }));
    this.onChanged();
    return true;
  }

  hasRun(run: number): boolean {
    return this.runs.some((other) => other.run === run);
  }

  /** Returns the stored form; undefined for a task that was never started and is not done. */
  toRecord(): TaskRecord | undefined {
    const { done, failures, lastRun, runs, crashes, earlyCrashes } = this;
    if (lastRun === 0 && !done) return undefined;
    const record = { done, failures, lastRun, ...this.checkpointRecord(), runs };
    return crashes === 0 ? record : { ...record, crashes, earlyCrashes };
  }

  private checkpointRecord(): Pick<TaskRecord, 'checkpoint' | 'checkpointRef'> {
    const { checkpoint, storedCheckpoint } = this;
    if (this.hasShortCheckpoint) return { checkpoint };
    const checkpointRef = storedCheckpoint?.ref;
    return checkpointRef ? { checkpoint: '', checkpointRef } : { checkpoint: '' };
  }

  restore(record: TaskRecord): void {
    this.done = record.done;
    this.failures = record.failures;
    this.lastRun = record.lastRun;
    this.checkpoint = record.checkpoint;
    this.runs = [...record.runs];
    this.crashes = record.crashes ?? 0;
    this.earlyCrashes = record.earlyCrashes ?? 0;
    this.onChanged();
  }
}
