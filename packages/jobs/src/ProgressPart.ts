/**
 * The progress of a job with many tasks is stored in parts, each with the tasks of a range of one step, as one
 * record has a limited size and would be written whole at each change.
 */

/** A started task takes 85 to 300 bytes, so that a part stays well below the store's limit. */
const TASKS_PER_PART = 256;

/** Jobs that may have more open tasks are stored in parts, as one record might not hold them. */
export const MAX_TASKS_IN_RECORD = 800;

export interface ProgressPart {
  readonly occurrence: number;
  readonly step: number;
  readonly part: number;
}

/** The part that a task belongs to. */
export function partOf(taskIndex: number): number {
  return Math.floor(taskIndex / TASKS_PER_PART);
}

/** The tasks of a part, from the first index to before the last one. */
export function taskRangeOf(part: number): readonly [number, number] {
  return [part * TASKS_PER_PART, (part + 1) * TASKS_PER_PART];
}
