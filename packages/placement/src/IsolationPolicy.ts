/**
 * Decides how many targets of a pool are kept for suspects of a crash. Suspects of different jobs start
 * one after the other on a kept target, so the number follows the jobs that wait. While other work
 * waits, too, they get a part of the targets that corresponds to their number.
 */

/**
 * Jobs whose suspects one target starts in a second, about. Each takes until a report shows it at work
 * for long enough (`CrashPolicy`), and one that crashes the target leaves none for the next.
 */
const JOBS_PER_TARGET = 2;

/** Suspects may take at least this part of a pool's open targets, however much other work waits. */
const MIN_SHARE = 0.34;

const MS_PER_S = 1_000;

/** What waits in a pool. */
export interface IsolationDemand {
  /** Jobs with suspects that wait for a target. */
  readonly suspectJobs: number;
  /** Steps with other waiting tasks. */
  readonly otherSteps: number;
  /** Targets of the pool that accept new tasks. */
  readonly openTargets: number;
}

export class IsolationPolicy {
  /** Targets on which the suspects of all the jobs start within about a second. */
  static neededTargets(suspectJobs: number): number {
    return Math.ceil(suspectJobs / JOBS_PER_TARGET);
  }

  /** Time until the suspects of all the jobs have started if no target crashes, in milliseconds. */
  static waitMs(suspectJobs: number, openTargets: number): number {
    return (suspectJobs * MS_PER_S) / (JOBS_PER_TARGET * Math.max(1, openTargets));
  }

  /** Number of targets that may be kept for suspects; at least one while suspects wait. */
  static maxTargets({ suspectJobs, otherSteps, openTargets }: IsolationDemand): number {
    if (suspectJobs === 0) return 0;
    const share = Math.max(MIN_SHARE, suspectJobs / (suspectJobs + otherSteps));
    const permitted = Math.max(1, Math.floor(openTargets * share));
    return Math.min(permitted, suspectJobs);
  }
}
