/**
 * A job and the state machine of its tasks. Every transition is a method that either applies or is
 * refused. The state machine does not depend on clocks, targets or the journal.
 */
import { type JobDefinition } from './JobSpec.js';
import { Occurrence } from './Occurrence.js';
import { type StepState } from './StepState.js';
import { type TaskState } from './TaskState.js';

export type JobStatus = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled';

/**
 * How a run ended, as reported by the target or as proven otherwise: `lapsed` also follows from the
 * certain expiry of the lease, and `lost` means that the run is certainly not running, although no
 * end was reported. Only `failed` counts as a failed attempt, and only `done` completes the task,
 * unless it is long-running.
 */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'lost';

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

  constructor(public definition: JobDefinition) {
    if (!definition.spec.schedule) this.openOccurrence(0, definition.acceptedUnixMs);
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

  get hasStarted(): boolean {
    if (this.endedOccurrences.size > 0) return true;
    return [...this.occurrences.values()].some((occurrence) => occurrence.hasStarted);
  }

  /** Opens every occurrence that is due and not yet open, and returns them. */
  openDue(nowUnixMs: number): Occurrence[] {
    const { schedule } = this.definition.spec;
    if (!schedule || this.isFinished) return [];
    const opened: Occurrence[] = [];
    for (let index = 0; index < schedule.repeatCount; index += 1) {
      const dueUnixMs = schedule.firstDueUnixMs + index * schedule.periodMs;
      if (dueUnixMs > nowUnixMs) break;
      if (!this.occurrences.has(index) && !this.endedOccurrences.has(index)) {
        opened.push(this.openOccurrence(index, dueUnixMs));
      }
    }
    return opened;
  }

  find(occurrenceIndex: number, stepIndex: number, taskIndex: number): TaskPlace | undefined {
    const occurrence = this.occurrences.get(occurrenceIndex);
    const step = occurrence?.steps[stepIndex];
    const task = step?.tasks[taskIndex];
    if (!occurrence || !step || !task) return undefined;
    return { job: this, occurrence, step, task };
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
    const occurrence = new Occurrence(this.jobId, index, this.definition.spec, dueUnixMs);
    this.occurrences.set(index, occurrence);
    return occurrence;
  }

  private closeOccurrence(occurrence: Occurrence): void {
    const haveAllRunsEnded = occurrence.steps.every((step) =>
      step.tasks.every((t) => t.runs.length === 0),
    );
    if (!haveAllRunsEnded) return;
    this.occurrences.delete(occurrence.index);
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
