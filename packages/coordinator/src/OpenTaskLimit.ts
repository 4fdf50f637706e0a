/**
 * Limits the tasks of all jobs that have not finished, because the owner and each of its successors keep them in
 * memory, whether they can ever run or not.
 */

/**
 * Tasks of all open jobs. The heap of an owner of 200 MB was full at about 470,000 waiting tasks, which its
 * successor then loaded, too.
 */
export const MAX_OPEN_TASKS_OF_ALL = 200_000;

/** Of these, what is left to jobs of ordinary size when large ones have filled the rest. */
export const RESERVED_FOR_SMALL_JOBS = 50_000;

/** A job with more tasks than this is a large one. */
export const MAX_TASKS_OF_SMALL_JOB = 1_000;

export class OpenTaskLimit {
  private count = 0;

  allows(taskCount: number): boolean {
    const isLarge = taskCount > MAX_TASKS_OF_SMALL_JOB;
    const limit = MAX_OPEN_TASKS_OF_ALL - (isLarge ? RESERVED_FOR_SMALL_JOBS : 0);
    return this.count + taskCount <= limit;
  }

  add(taskCount: number): void {
    this.count += taskCount;
  }

  remove(taskCount: number): void {
    this.count -= taskCount;
  }
}
