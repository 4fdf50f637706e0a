/**
 * Observes what simulated targets actually run and records each violated guarantee: two runs of a
 * task at the same time (three, or two on one target, if its step permits copies), a run number that
 * is used twice, a start after an acknowledged end, more failed attempts than allowed, a step that
 * starts before the previous one has ended, and more starts than allowed of a task that has crashed
 * targets.
 */

/** A task that has crashed this many targets may be started fewer than that many times more. */
const MAX_CRASHES = 3;
const MAX_STARTS_AFTER_CRASHES = 2;

interface ObservedTask {
  readonly running: Map<string, number>;
  isDoneAcknowledged: boolean;
  acknowledgedFailures: number;
  readonly runNumbers: Set<number>;
  starts: number;
  isDone: boolean;
  /** Targets that the task has crashed. */
  crashes: number;
  startsAfterCrashes: number;
  /** Targets that crashed while the task ran there, whichever task was the cause. */
  crashesUnder: number;
}

export class RunObserver {
  /** Descriptions of the violated guarantees. */
  readonly broken: string[] = [];

  private readonly tasks = new Map<string, ObservedTask>();

  private readonly copiedSteps = new Set<string>();

  private readonly startsByTarget = new Map<string, number>();

  /** The specifications that targets were told to start, by job id. */
  private readonly specs = new Map<string, Set<string>>();

  private readonly gangSteps = new Set<string>();

  /** The checkpoint that each task last resumed from. */
  readonly resumed = new Map<string, string>();

  constructor(private readonly maxAttempts: number) {}

  /** The checkpoint of each member of a gang is valid for all of them; the id of its step is `job.occurrence.step`. */
  recordGang(stepId: string): void {
    this.gangSteps.add(stepId);
  }

  /** Whether a checkpoint of one task is valid for the other. */
  sharesCheckpoints(producerId: string, taskId: string): boolean {
    const stepId = taskId.slice(0, taskId.lastIndexOf('.'));
    if (this.gangSteps.has(stepId)) return producerId.startsWith(`${stepId}.`);
    return producerId === taskId;
  }

  /** Permits two concurrent runs of each task of the step; its id is `job.occurrence.step`. */
  permitCopies(stepId: string): void {
    this.copiedSteps.add(stepId);
  }

  get startCount(): number {
    return [...this.tasks.values()].reduce((sum, task) => sum + task.starts, 0);
  }

  /** Number of targets that tasks have crashed. */
  get crashCount(): number {
    return [...this.tasks.values()].reduce((sum, task) => sum + task.crashes, 0);
  }

  startsOf(taskId: string): number {
    return this.tasks.get(taskId)?.starts ?? 0;
  }

  /** Number of starts on the target, of any task. */
  startsOn(targetId: string): number {
    return this.startsByTarget.get(targetId) ?? 0;
  }

  isDone(taskId: string): boolean {
    return this.tasks.get(taskId)?.isDone ?? false;
  }

  /** Number of targets that the task has crashed. */
  crashesOf(taskId: string): number {
    return this.tasks.get(taskId)?.crashes ?? 0;
  }

  /** Number of targets that crashed while the task ran there, whichever task was the cause. */
  crashesUnder(taskId: string): number {
    return this.tasks.get(taskId)?.crashesUnder ?? 0;
  }

  /** Records that a task has crashed its target, with all tasks that ran there. */
  crashed(taskId: string, runningTaskIds: readonly string[]): void {
    this.ensure(taskId).crashes += 1;
    runningTaskIds.forEach((running) => {
      this.ensure(running).crashesUnder += 1;
    });
  }

  /** The specifications of the job's starts. */
  specsOf(jobId: string): readonly string[] {
    return [...(this.specs.get(jobId) ?? [])];
  }

  started(taskId: string, run: number, targetId: string, spec = ''): void {
    const task = this.ensure(taskId);
    const [jobId = ''] = taskId.split('.');
    this.specs.set(jobId, new Set(this.specs.get(jobId)).add(spec));
    task.starts += 1;
    if (task.crashes >= MAX_CRASHES) task.startsAfterCrashes += 1;
    if (task.startsAfterCrashes > MAX_STARTS_AFTER_CRASHES) {
      this.broken.push(`${taskId} run ${run} after it crashed ${task.crashes} targets`);
    }
    this.startsByTarget.set(targetId, this.startsOn(targetId) + 1);
    const maxOthers = this.copiedSteps.has(taskId.slice(0, taskId.lastIndexOf('.'))) ? 1 : 0;
    if (task.running.size > maxOthers || task.running.has(targetId)) {
      this.broken.push(`${taskId} run ${run} beside another run`);
    }
    if (task.runNumbers.has(run)) this.broken.push(`${taskId} run ${run} started twice`);
    task.runNumbers.add(run);
    if (task.isDoneAcknowledged) this.broken.push(`${taskId} run ${run} after an acknowledged end`);
    if (task.acknowledgedFailures >= this.maxAttempts) {
      this.broken.push(`${taskId} run ${run} after ${task.acknowledgedFailures} failed attempts`);
    }
    this.checkOrder(taskId);
    task.running.set(targetId, run);
  }

  ended(taskId: string, targetId: string, isDone: boolean): void {
    const task = this.ensure(taskId);
    task.running.delete(targetId);
    if (isDone) task.isDone = true;
  }

  acknowledged(taskId: string, end: string): void {
    const task = this.ensure(taskId);
    if (end === 'done') task.isDoneAcknowledged = true;
    if (end === 'failed') task.acknowledgedFailures += 1;
  }

  /**
   * A task of step 1 must start after all tasks of step 0 that were ever started are done. Task ids
   * have the form `job.occurrence.step.task`.
   */
  private checkOrder(taskId: string): void {
    const [jobId, occurrence, step] = taskId.split('.');
    if (step === '0') return;
    this.tasks.forEach((task, other) => {
      if (!other.startsWith(`${jobId}.${occurrence}.0.`) || task.isDone) return;
      this.broken.push(`${taskId} before ${other} has ended`);
    });
  }

  private ensure(taskId: string): ObservedTask {
    const known = this.tasks.get(taskId);
    if (known) return known;
    const created = {
      running: new Map<string, number>(),
      runNumbers: new Set<number>(),
      isDoneAcknowledged: false,
      acknowledgedFailures: 0,
      starts: 0,
      isDone: false,
      crashes: 0,
      startsAfterCrashes: 0,
      crashesUnder: 0,
    };
    this.tasks.set(taskId, created);
    return created;
  }
}
