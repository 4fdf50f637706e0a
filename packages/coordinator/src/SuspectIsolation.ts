/**
 * Keeps targets for tasks that are suspected of crashing the targets that start them. Such a target
 * starts tasks of one job only, and none of these before all other runs there have been at work for a
 * while, so that a crash has one possible cause and new tasks are not lost with it.
 */
import { type Job, type TaskState } from '@acaciadock/jobs';
import { CrashPolicy, type PlacementRequest, TargetChooser } from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { type JobTable } from './JobTable.js';
import { type LiveRun } from './LiveRun.js';

export class SuspectIsolation {
  private readonly isolated = new Set<FleetTarget>();

  constructor(
    private readonly jobs: JobTable,
    private readonly isOpen: (target: FleetTarget) => boolean,
  ) {}

  /** The targets that are not kept for the suspects of some job. */
  shared(targets: readonly FleetTarget[]): readonly FleetTarget[] {
    if (this.isolated.size === 0) return targets;
    return targets.filter((target) => target.isolatedJobId === '');
  }

  /**
   * The target that may start a suspect of the job now; undefined if there is none yet. Keeps one of
   * the open targets for the job if none is kept for it.
   */
  targetFor(
    job: Job,
    request: PlacementRequest,
    openTargets: readonly FleetTarget[],
  ): FleetTarget | undefined {
    const kept = openTargets.find((target) => target.isolatedJobId === job.jobId);
    if (!kept) {
      this.isolate(job, request, openTargets);
      return undefined;
    }
    if (SuspectIsolation.earlyRunsOfOthers(kept, job.jobId).length > 0) return undefined;
    if (TargetChooser.fits(kept, request)) return kept;
    this.replaceIfUseless(kept, job, request, openTargets);
    return undefined;
  }

  /** Whether one of the targets is kept for the job. */
  static hasTargetFor({ jobId }: Job, targets: readonly FleetTarget[]): boolean {
    return targets.some(({ isolatedJobId }) => isolatedJobId === jobId);
  }

  /** Opens the targets again whose jobs have no use for them any more. */
  refresh(): void {
    this.isolated.forEach((target) => {
      if (!this.isOpen(target) || !this.isNeeded(target)) this.release(target);
    });
  }

  private isNeeded(target: FleetTarget): boolean {
    const job = this.jobs.get(target.isolatedJobId)?.job;
    if (!job || job.isFinished) return false;
    return SuspectIsolation.suspectsOf(job).some(
      (task) => task.isWaiting || target.runs.has(task.taskId) || task.runs.length > 0,
    );
  }

  private static suspectsOf(job: Job): readonly TaskState[] {
    return [...job.occurrences.values()].flatMap(({ steps }) =>
      steps.flatMap(({ tasks }) => tasks.filter((task) => task.isSuspect && !task.done)),
    );
  }

  private isolate(job: Job, request: PlacementRequest, openTargets: readonly FleetTarget[]): void {
    this.refresh();
    const isolated = openTargets.filter((target) => target.isolatedJobId !== '');
    if (isolated.length >= CrashPolicy.maxIsolated(openTargets.length)) return;
    const [best] = openTargets
      .filter((target) => target.isolatedJobId === '')
      .map((target) => ({ target, keys: SuspectIsolation.preferenceOf(target, request) }))
      .filter(({ keys }) => keys !== undefined)
      .sort((a, b) => SuspectIsolation.compare(a.keys ?? [], b.keys ?? []));
    if (!best) return;
    Object.assign(best.target, { isolatedJobId: job.jobId });
    this.isolated.add(best.target);
  }

  /**
   * Sort keys of a target, lowest first: not the one to avoid, one with room now, with few runs that
   * have only just started, with little other work. Undefined if the target could not take the task
   * even if all its other work had ended.
   */
  private static preferenceOf(
    target: FleetTarget,
    request: PlacementRequest,
  ): readonly number[] | undefined {
    const fitsNow = TargetChooser.fits(target, request);
    if (!fitsNow && !SuspectIsolation.couldFit(target, request)) return undefined;
    return [
      target.targetId === request.avoidTargetId ? 1 : 0,
      fitsNow ? 0 : 1,
      SuspectIsolation.earlyRunsOfOthers(target, '').length,
      target.runs.size,
    ];
  }

  private static compare(a: readonly number[], b: readonly number[]): number {
    const index = a.findIndex((key, at) => key !== b[at]);
    return index < 0 ? 0 : (a[index] ?? 0) - (b[index] ?? 0);
  }

  /** Whether the task would fit if the tasks that do not run for good had ended. */
  private static couldFit(target: FleetTarget, request: PlacementRequest): boolean {
    const lasting = [...target.runs.values()].map(({ place }) => place.step.spec);
    const kept = lasting.filter((spec) => spec.longRunning);
    const sum = (of: (spec: (typeof kept)[number]) => number): number =>
      kept.reduce((total, spec) => total + of(spec), 0);
    return TargetChooser.fits(
      {
        targetId: target.targetId,
        rackId: target.rackId,
        labels: target.labels,
        freeCpuMilli: target.capacity.cpuMilli - sum((spec) => (spec.filler ? 0 : spec.cpuMilli)),
        freeMemoryMb: target.capacity.memoryMb - sum((spec) => spec.memoryMb),
        freeGpuCount: target.capacity.gpuCount - sum((spec) => spec.gpuCount),
        longRunningCount: target.longRunningCount,
        servingCount: target.servingCount,
        fillerCount: target.fillerCount,
        countOfStep: (stepId) => target.countOfStep(stepId),
      },
      request,
    );
  }

  /** Replaces a target that can't take the task, such as one with an equal task that may not share. */
  private replaceIfUseless(
    kept: FleetTarget,
    job: Job,
    request: PlacementRequest,
    openTargets: readonly FleetTarget[],
  ): void {
    if (SuspectIsolation.couldFit(kept, request)) return;
    this.release(kept);
    const others = openTargets.filter((target) => target !== kept);
    this.isolate(job, request, others);
  }

  private release(target: FleetTarget): void {
    Object.assign(target, { isolatedJobId: '' });
    this.isolated.delete(target);
  }

  private static earlyRunsOfOthers({ runs }: FleetTarget, jobId: string): readonly LiveRun[] {
    return [...runs.values()].filter(
      (live) => live.isEarly && live.place.job.jobId !== jobId && live.phase !== 'stopping',
    );
  }
}
