/**
 * A job and the state machine of its tasks. Every transition is a method that either applies or is
 * refused. The state machine does not depend on clocks, targets or the journal.
 */
import { type JobDefinition, type JobSpec } from './JobSpec.js';
import { Occurrence } from './Occurrence.js';
import { MAX_TASKS_IN_RECORD, type ProgressPart } from './ProgressPart.js';
import { type StepState } from './StepState.js';
import { type TaskState } from './TaskState.js';

/**
 * Maximum number of tasks in the open occurrences of a scheduled job, unless one occurrence alone has
 * more. A schedule whose start time is omitted has all its occurrences due at once, and a million of
 * them would exceed the memory of the process. Further ones open as earlier ones end.
 */
const MAX_OPEN_TASKS = 20_000;

/** Maximum number of open occurrences of a scheduled job, which are listed in one record of the journal. */
const MAX_OPEN_OCCURRENCES = 2_000;

export type JobStatus = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled';

/**
 * How a run ended, as reported by the target or as proven otherwise: `lapsed` also follows from the
 * certain expiry of the lease, `crashed` means that the process of the target has ended without
 * notice, and `lost` that the run is certainly not running for any other reason, although no end was
 * reported. Only `failed` counts as a failed attempt, and only `done` completes the task, unless it is
 * long-running.
 */
export type RunEnd =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'crashed' | 'lost';

/** An open step with tasks that need a new start. */
export interface WaitingStepPlace {
  readonly occurrence: Occurrence;
  readonly step: StepState;
}

/** A task with the job, occurrence and step that it belongs to. */
export interface TaskPlace {
  readonly job: Job;
  readonly occurrence: Occurrence;
  readonly step: StepState;
  readonly task: TaskState;
}

export class Job {
  status: JobStatus = 'pending';

  finishedUnixMs = 0;

  readonly occurrences = new Map<number, Occurrence>();

  /** Occurrences that have ended and whose tasks are no longer kept. */
  readonly endedOccurrences = new Set<number>();

  /** Caches `waitingSteps`; undefined after a change. */
  private knownWaitingSteps: readonly WaitingStepPlace[] | undefined;

  /** Whether the progress of the tasks is stored in parts; it stays so. */
  hasParts: boolean;

  constructor(public definition: JobDefinition) {
    this.hasParts = Job.maxOpenTasksOf(definition.spec) > MAX_TASKS_IN_RECORD;
    if (!definition.spec.schedule) this.openOccurrence(0, definition.acceptedUnixMs);
  }

  /** Stores the progress of the tasks in parts from now on, all of which count as changed. */
  divide(): void {
    this.hasParts = true;
  }

  get jobId(): string {
    return this.definition.jobId;
  }

  get isFinished(): boolean {
    return this.status === 'completed' || this.status === 'failed' || this.status === 'cancelled';
  }

  get isScheduled(): boolean {
    return this.definition.spec.schedule !== undefined;
  }

  /** Whether a task of the job has begun on a target. */
  get hasBegun(): boolean {
    if (this.endedOccurrences.size > 0) return true;
    return [...this.occurrences.values()].some((occurrence) => occurrence.hasBegun);
  }

  /**
   * Opens the occurrences that are due and not yet open, in their order and as far as
   * `MAX_OPEN_TASKS` permits, and returns them.
   */
  openDue(nowUnixMs: number): Occurrence[] {
    const { schedule } = this.definition.spec;
    if (!schedule || this.isFinished) return [];
    const opened: Occurrence[] = [];
    const perOccurrence = Job.tasksPerOccurrence(this.definition.spec.steps);
    const maxOccurrences = Job.maxOpenOccurrences(perOccurrence);
    for (let index = 0; index < schedule.repeatCount; index += 1) {
      const dueUnixMs = schedule.firstDueUnixMs + index * schedule.periodMs;
      if (dueUnixMs > nowUnixMs || this.occurrences.size >= maxOccurrences) break;
      if (!this.occurrences.has(index) && !this.endedOccurrences.has(index)) {
        opened.push(this.openOccurrence(index, dueUnixMs));
      }
    }
    return opened;
  }

  /** The most tasks of the specification that are kept in memory at a time. */
  static maxOpenTasksOf({ steps, schedule }: JobSpec): number {
    const perOccurrence = Job.tasksPerOccurrence(steps);
    const repeatCount = schedule?.repeatCount ?? 1;
    return perOccurrence * Math.min(repeatCount, Job.maxOpenOccurrences(perOccurrence));
  }

  /** Releases the tasks of a finished job without live runs; only its status is kept. */
  dropTasks(): void {
    this.occurrences.clear();
    this.knownWaitingSteps = undefined;
  }

  private static tasksPerOccurrence(steps: JobSpec['steps']): number {
    return steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
  }

  private static maxOpenOccurrences(tasksPerOccurrence: number): number {
    const byTasks = Math.floor(MAX_OPEN_TASKS / Math.max(1, tasksPerOccurrence));
    return Math.max(1, Math.min(byTasks, MAX_OPEN_OCCURRENCES));
  }

  /** Returns the parts of open occurrences that have changed since the last call. */
  takeChangedParts(): ProgressPart[] {
    const changed: ProgressPart[] = [];
    for (const { index: occurrence, steps } of this.occurrences.values()) {
      for (const { index: step, changedParts } of steps) {
        changedParts.forEach((part) => changed.push({ occurrence, step, part }));
        changedParts.clear();
      }
    }
    return changed;
  }

  find(occurrenceIndex: number, stepIndex: number, taskIndex: number): TaskPlace | undefined {
    const occurrence = this.occurrences.get(occurrenceIndex);
    const step = occurrence?.steps[stepIndex];
    const task = step?.tasks[taskIndex];
    if (!occurrence || !step || !task) return undefined;
    return { job: this, occurrence, step, task };
  }

  /** The open steps with tasks that need a new start. Every pass reads them of every active job. */
  get waitingSteps(): readonly WaitingStepPlace[] {
    this.knownWaitingSteps ??= this.findWaitingSteps();
    return this.knownWaitingSteps;
  }

  private findWaitingSteps(): WaitingStepPlace[] {
    return [...this.occurrences.values()].flatMap((occurrence) =>
      occurrence.openSteps
        .filter((step) => step.waitingTasks.length > 0)
        .map((step) => ({ occurrence, step })),
    );
  }

  /** Returns every task with a run that may still be alive. */
  liveTasks(): TaskPlace[] {
    const places: TaskPlace[] = [];
    for (const occurrence of this.occurrences.values()) {
      for (const step of occurrence.steps) {
        for (const task of step.tasks) {
          if (task.runs.length > 0) places.push({ job: this, occurrence, step, task });
        }
      }
    }
    return places;
  }

  markStarted(): void {
    if (this.status === 'pending') this.status = 'running';
  }

  /** Applies the end of a run; returns false, without effect, if no such run is alive. */
  endRun(place: TaskPlace, run: number, end: RunEnd, checkpoint: string): boolean {
    const { task, step } = place;
    if (!task.hasRun(run)) return false;
    const endedRun = task.runs.find((other) => other.run === run);
    task.removeRun(run);
    task.recordCheckpoint(checkpoint);
    if (end === 'done' && !step.spec.longRunning) Job.markDone(place);
    if (end === 'failed') task.recordFailure(endedRun?.targetId ?? '');
    if (this.isScheduled && place.occurrence.isDone) this.closeOccurrence(place.occurrence);
    return true;
  }

  /**
   * Whether the task has used up its attempts, which fails the whole job. While another run of the
   * task is alive, the task may still be done.
   */
  isOutOfAttempts({ step, task }: TaskPlace): boolean {
    if (task.done || task.runs.length > 0 || step.spec.longRunning) return false;
    return task.failures >= this.definition.maxAttempts;
  }

  /** Whether the task is not started again, which fails the whole job. */
  static isGivenUp({ task }: TaskPlace): boolean {
    return task.isGivenUp && !task.done && task.runs.length === 0;
  }

  finish(status: 'completed' | 'failed' | 'cancelled', nowUnixMs: number): void {
    if (this.isFinished) return;
    this.status = status;
    this.finishedUnixMs = nowUnixMs;
  }

  private static markDone({ step, task }: TaskPlace): void {
    task.markDone();
    // When one member of a gang is done, all of them are.
    if (step.spec.gang) step.tasks.forEach((member) => member.markDone());
  }

  private openOccurrence(index: number, dueUnixMs: number): Occurrence {
    const { spec } = this.definition;
    const dropCached = (): void => {
      this.knownWaitingSteps = undefined;
    };
    const occurrence = new Occurrence(this.jobId, index, spec, dueUnixMs, dropCached);
    this.occurrences.set(index, occurrence);
    dropCached();
    return occurrence;
  }

  private closeOccurrence(occurrence: Occurrence): void {
    const haveAllRunsEnded = occurrence.steps.every((step) =>
      step.tasks.every((t) => t.runs.length === 0),
    );
    if (!haveAllRunsEnded) return;
    this.occurrences.delete(occurrence.index);
    this.knownWaitingSteps = undefined;
    this.endedOccurrences.add(occurrence.index);
  }

  /** Whether every task of every occurrence is done. */
  get isComplete(): boolean {
    const { schedule } = this.definition.spec;
    if (!schedule) return this.occurrences.get(0)?.isDone ?? false;
    const done = [...this.occurrences.values()].filter((occurrence) => occurrence.isDone).length;
    return done + this.endedOccurrences.size >= schedule.repeatCount;
  }
}
