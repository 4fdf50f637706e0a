/**
 * Decides which tasks get a copy: a second run that starts while the first may still be alive, so
 * that a task need not wait until a silent or slow target has certainly given it up.
 */
import { type StepSpec } from '@acaciadock/jobs';
import { type StragglerVerdict } from './StragglerDetector.js';

export type CopyReason = 'silent' | Exclude<StragglerVerdict, 'sound'>;

/** What is known about a task that may get a copy. */
export interface CopyCandidate {
  readonly step: StepSpec;
  readonly isDone: boolean;
  readonly runCount: number;
  readonly failures: number;
  readonly maxAttempts: number;
}

/** One report may get lost in transit, so silence begins with the second missed one. */
const MISSED_REPORTS = 2;

/** Number of silent targets in a rack that indicates that the rack itself has a fault. */
const SILENT_TARGETS_OF_RACK = 3;

/** Maximum number of copies at once, as a fraction of the pool's running tasks. */
const MAX_COPY_SHARE = 0.1;

export class CopyPolicy {
  /** Whether the tasks of the step may have several runs at once. */
  static permits(step: StepSpec): boolean {
    return step.speculative && !step.gang && !step.longRunning;
  }

  /** Whether the task may get a copy; a task never has more than one. */
  static mayCopy(task: CopyCandidate): boolean {
    if (!CopyPolicy.permits(task.step) || task.isDone || task.runCount !== 1) return false;
    return task.failures < task.maxAttempts;
  }

  /** Whether a target counts as silent; `silentInRack` includes the target itself. */
  static isSilent(missedReports: number, silentInRack: number): boolean {
    return missedReports >= (silentInRack >= SILENT_TARGETS_OF_RACK ? 1 : MISSED_REPORTS);
  }

  /** Number of copies that may start in a pool; rounded up, so that small pools get one as well. */
  static budget(runningTasks: number, copies: number): number {
    return Math.max(0, Math.ceil(runningTasks * MAX_COPY_SHARE) - copies);
  }
}
