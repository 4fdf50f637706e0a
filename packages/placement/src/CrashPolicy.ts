/**
 * Judges tasks by the crashes of the targets that ran them. A task may crash every target that starts
 * it, and up to some twenty other tasks are lost with each one. So no task is blamed for one crash:
 * those that had only just started are suspects, and each is started again where no other job's
 * task has only just started. If that target crashes too, the suspect is the cause.
 */

/** What is known about a task when a target that ran it has crashed. */
export interface CrashedTask {
  /** Targets that crashed while the task ran there, this one included. */
  readonly crashes: number;
  /** Those of them that crashed soon after they had started the task. */
  readonly earlyCrashes: number;
  /** The crash counts against the task, and no task of another job had only just started there. */
  readonly isOnlySuspect: boolean;
}

/**
 * A run that its target has reported at work for this long did not crash it by starting, in
 * milliseconds. Every suspect keeps new tasks off a target for about this long.
 */
export const SETTLED_AFTER_MS = 200;

/** Early crashes after which a task is given up if it was the only suspect in the last one. */
const MAX_EARLY_CRASHES = 2;

/**
 * Crashes after which a task is given up in any case. A task that has crashed three targets may be
 * started less than three times more.
 */
const MAX_CRASHES = 5;

export class CrashPolicy {
  /** Whether the target may yet crash because it started the run. */
  static isEarly(isConfirmed: boolean, reportedWorkMs: number): boolean {
    return !isConfirmed || reportedWorkMs < SETTLED_AFTER_MS;
  }

  static shouldGiveUp({ crashes, earlyCrashes, isOnlySuspect }: CrashedTask): boolean {
    if (crashes >= MAX_CRASHES) return true;
    return isOnlySuspect && earlyCrashes >= MAX_EARLY_CRASHES;
  }
}
