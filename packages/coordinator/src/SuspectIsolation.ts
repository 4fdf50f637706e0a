/**
 * Keeps targets for tasks that are suspected of crashing the targets that start them. Only suspects
 * start there, those of one job after those of another: none starts before all runs of other jobs have
 * been at work for a while, so that a crash has one possible cause and new tasks are not lost with it.
 */
import { type Clock } from '@acaciadock/core';
import { type Job } from '@acaciadock/jobs';
import {
  type IsolationDemand,
  IsolationPolicy,
  type PlacementRequest,
  TargetChooser,
} from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { RecentCrashes } from './RecentCrashes.js';
import { RoomBesideLongRunning } from './RoomBesideLongRunning.js';

/**
 * A target for which no suspect has asked for this long, nor in the last pass, is opened to other tasks,
 * in milliseconds. Copies of suspects ask between passes.
 */
const RELEASE_AFTER_MS = 250;

export class SuspectIsolation {
  /** The isolated targets, with the monotonic time at which a suspect last asked for each. */
  private readonly askedMs = new Map<FleetTarget, number>();

  /** The isolated targets that suspects have asked for since the last pass over their pool began. */
  private readonly askedInPass = new Set<FleetTarget>();

  /** The isolated targets beyond the maximum, for tasks that none of the others could take. */
  private readonly extra = new Set<FleetTarget>();

  /** Maximum number of isolated targets by pool, as of its last pass. */
  private readonly maxTargets = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly crashes = new RecentCrashes(clock),
  ) {}

  /** Starts a pass over a pool, of which the demand is known. */
  beginPass(poolId: string, demand: IsolationDemand): void {
    this.maxTargets.set(poolId, IsolationPolicy.maxTargets(demand));
    this.releaseUnused(poolId);
    this.releaseExcess(poolId);
    this.isolatedOf(poolId).forEach((target) => this.askedInPass.delete(target));
  }

  /** The targets that are not kept for suspects. */
  shared(targets: readonly FleetTarget[]): readonly FleetTarget[] {
    if (this.askedMs.size === 0) return targets;
    return targets.filter((target) => !target.isIsolated);
  }

  /**
   * The target that may start a suspect of the job now; undefined if there is none yet. Keeps another
   * one of the open targets if those that are kept have other suspects to start.
   */
  targetFor(
    job: Job,
    request: PlacementRequest,
    openTargets: readonly FleetTarget[],
  ): FleetTarget | undefined {
    const usable = SuspectIsolation.usableFor(request, openTargets);
    const ready = usable.filter((target) => SuspectIsolation.isReady(target, job, request));
    const target = this.bestOf(ready, request);
    if (target) {
      this.recordAsked(target);
      return target;
    }
    const unasked = usable.filter((one) => !this.askedInPass.has(one));
    const hasRoom = (one: FleetTarget): boolean => TargetChooser.fits(one, request);
    const added = unasked.some(hasRoom) ? undefined : this.isolate(request, openTargets, usable);
    if (added) return SuspectIsolation.isReady(added, job, request) ? added : undefined;
    const awaited = this.bestOf(unasked, request);
    if (awaited) this.recordAsked(awaited);
    return undefined;
  }

  /** Whether one of the targets is kept for suspects and could take the task once it has room. */
  static hasTargetFor(request: PlacementRequest, targets: readonly FleetTarget[]): boolean {
    return SuspectIsolation.usableFor(request, targets).length > 0;
  }

  private isolatedOf(poolId: string): FleetTarget[] {
    return [...this.askedMs.keys()].filter((target) => target.poolId === poolId);
  }

  /** Opens the targets again that no suspect needs any more. */
  private releaseUnused(poolId: string): void {
    const nowMs = this.clock.monotonicMs();
    this.isolatedOf(poolId)
      .filter((target) => !target.isOpen(nowMs) || !this.isInUse(target, nowMs))
      .forEach((target) => this.release(target));
  }

  private isInUse(target: FleetTarget, nowMs: number): boolean {
    if (this.askedInPass.has(target) || SuspectIsolation.hasEarlySuspect(target)) return true;
    return nowMs - (this.askedMs.get(target) ?? -Infinity) < RELEASE_AFTER_MS;
  }

  /** Opens targets beyond the maximum, which falls as other work arrives. */
  private releaseExcess(poolId: string): void {
    const counted = this.isolatedOf(poolId).filter((target) => !this.extra.has(target));
    const excess = counted.length - (this.maxTargets.get(poolId) ?? 0);
    counted
      .filter((target) => !SuspectIsolation.hasEarlySuspect(target))
      .slice(0, Math.max(0, excess))
      .forEach((target) => this.release(target));
  }

  private release(target: FleetTarget): void {
    Object.assign(target, { isIsolated: false });
    this.askedMs.delete(target);
    this.askedInPass.delete(target);
    this.extra.delete(target);
  }

  private recordAsked(target: FleetTarget): void {
    this.askedInPass.add(target);
    this.askedMs.set(target, this.clock.monotonicMs());
  }

  /**
   * Keeps another target for the task; undefined if there is none or the maximum is reached. Beyond the
   * maximum, a task gets the first target that could ever take it, and one that has room for it while
   * all that are usable are full.
   */
  private isolate(
    request: PlacementRequest,
    openTargets: readonly FleetTarget[],
    usable: readonly FleetTarget[],
  ): FleetTarget | undefined {
    const poolId = openTargets[0]?.poolId ?? '';
    const isExtra = this.isolatedOf(poolId).length >= (this.maxTargets.get(poolId) ?? 0);
    if (isExtra && usable.some((target) => TargetChooser.fits(target, request))) return undefined;
    const shared = openTargets.filter((target) => !target.isIsolated);
    const best = this.bestOf(shared, request);
    if (!best) return undefined;
    if (isExtra && usable.length > 0 && !TargetChooser.fits(best, request)) return undefined;
    if (isExtra) this.extra.add(best);
    Object.assign(best, { isIsolated: true });
    this.recordAsked(best);
    return best;
  }

  private static usableFor(
    request: PlacementRequest,
    targets: readonly FleetTarget[],
  ): readonly FleetTarget[] {
    return targets.filter(
      (target) => target.isIsolated && SuspectIsolation.couldFit(target, request),
    );
  }

  private static isReady(target: FleetTarget, job: Job, request: PlacementRequest): boolean {
    if (SuspectIsolation.earlyRunsOfOthers(target, job.jobId) > 0) return false;
    return TargetChooser.fits(target, request);
  }

  private bestOf(
    targets: readonly FleetTarget[],
    request: PlacementRequest,
  ): FleetTarget | undefined {
    const [best] = targets
      .map((target) => ({ target, keys: this.preferenceOf(target, request) }))
      .filter(({ keys }) => keys !== undefined)
      .sort((a, b) => SuspectIsolation.compare(a.keys ?? [], b.keys ?? []));
    return best?.target;
  }

  /**
   * Sort keys of a target, lowest first: not the one to avoid, one with room now, without a recent crash, with few
   * runs that have only just started, with little other work. Undefined if the target could not take the task
   * even if all its other work had ended.
   */
  private preferenceOf(
    target: FleetTarget,
    request: PlacementRequest,
  ): readonly number[] | undefined {
    const fitsNow = TargetChooser.fits(target, request);
    if (!fitsNow && !SuspectIsolation.couldFit(target, request)) return undefined;
    return [
      target.targetId === request.avoidTargetId ? 1 : 0,
      fitsNow ? 0 : 1,
      this.crashes.rankOf(target),
      SuspectIsolation.earlyRunsOfOthers(target, ''),
      target.runs.size,
    ];
  }

  private static compare(a: readonly number[], b: readonly number[]): number {
    const index = a.findIndex((key, at) => key !== b[at]);
    return index < 0 ? 0 : (a[index] ?? 0) - (b[index] ?? 0);
  }

  /** Whether the task would fit if the tasks that do not run for good had ended. */
  private static couldFit(target: FleetTarget, request: PlacementRequest): boolean {
    return TargetChooser.fits(RoomBesideLongRunning.of(target), request);
  }

  private static hasEarlySuspect({ runs }: FleetTarget): boolean {
    return [...runs.values()].some((live) => live.isEarly && live.place.task.isSuspect);
  }

  private static earlyRunsOfOthers({ runs }: FleetTarget, jobId: string): number {
    return [...runs.values()].filter(
      (live) => live.isEarly && live.place.job.jobId !== jobId && live.phase !== 'stopping',
    ).length;
  }
}
