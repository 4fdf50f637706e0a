/**
 * Tracks how fast each target runs its tasks, from the progress of its runs and from their ends, and
 * learns from this which queues have inherently long tasks. Each run counts once towards its queue:
 * as a long one as soon as its pace shows it, because a run that is stopped later never ends well.
 */
import { type Clock, Disposable } from '@acaciadock/core';
import { MIN_PACE_MS, type RuntimeEstimates, TargetSpeed } from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type RunTracker, type RunEnded } from './RunTracker.js';
import { type TargetTable } from './TargetTable.js';

/** Completed runs of a queue needed before progress is compared with its runtimes. */
export const TRUSTED_RUNS = 8;

/** Runtime from which a pace counts as evidence for other runs: two reports of a busy target. */
const MIN_EVIDENCE_MS = 200;

/** Time over which ended runs count towards the present speed of a target, in milliseconds. */
const RECENT_MS = 1_000;

export interface SpeedTrackerDeps {
  readonly targets: TargetTable;
  readonly runTracker: RunTracker;
  readonly estimates: RuntimeEstimates;
  readonly clock: Clock;
}

/** The runs whose ends were in one report of a target. */
interface EndedRuns {
  readonly targetId: string;
  readonly reportedMs: number;
  readonly runs: Set<LiveRun>;
  readonly slowdown: number | undefined;
}

interface ShortRun {
  readonly queueId: string;
  readonly dueMs: number;
}

export class SpeedTracker extends Disposable {
  private readonly speed = new TargetSpeed();

  /**
   * Short runs that have yet to be counted. They are counted at the age at which long ones are
   * found; otherwise the first runs of a queue would all be short.
   */
  private readonly shortRuns: ShortRun[] = [];

  /** The slowdown around the runs that ended last, which several observers ask for at each end. */
  private lastEnded: EndedRuns | undefined;

  constructor(private readonly deps: SpeedTrackerDeps) {
    super();
    this.register(deps.runTracker.onEnded((ended) => this.onEnded(ended)));
    this.register(deps.targets.onRemoved(({ targetId }) => this.speed.forget(targetId)));
  }

  /** Counts the runs that are found to be long, and the others of the same age that have ended. */
  update(): void {
    for (const target of this.deps.targets.all) target.runs.forEach((live) => this.countLong(live));
    const nowMs = this.deps.clock.monotonicMs();
    while (this.shortRuns[0] && this.shortRuns[0].dueMs <= nowMs) {
      const { queueId } = this.shortRuns.shift() as ShortRun;
      this.deps.estimates.recordOnSoundTarget(queueId, false);
    }
  }

  /** Counts a run as long, once, if its pace shows that it is. */
  private countLong(live: LiveRun): void {
    if (live.isProjected || live.phase !== 'running') return;
    if (live.reportedMs - live.startedMs < MIN_PACE_MS) return;
    const { queueId } = live.place.job.definition;
    const totalMs = live.projectedTotalMs;
    if (!this.isComparable(live) || !this.deps.estimates.isLong(queueId, totalMs)) return;
    Object.assign(live, { isProjected: true });
    this.deps.estimates.recordProjected(queueId, totalMs);
    this.countOnSoundTarget(live, true);
  }

  /**
   * Median multiple of the usual time that the other runs of the run's target take, of those that it
   * overlaps with first of all; undefined if there is too little evidence.
   */
  slowdownAround(live: LiveRun): number | undefined {
    if (this.lastEnded?.runs.has(live) === true) return this.lastEnded.slowdown;
    const target = this.deps.targets.get(live.targetId);
    return target && this.slowdown(target, live.startedMs, live);
  }

  /** The same for all runs of the target, of those that ended lately. */
  slowdownOf(target: FleetTarget): number | undefined {
    return this.slowdown(target, this.deps.clock.monotonicMs() - RECENT_MS, undefined);
  }

  private slowdown(
    target: FleetTarget,
    sinceMs: number,
    leftOut: LiveRun | undefined,
  ): number | undefined {
    const ratios: number[] = [];
    target.runs.forEach((run) => {
      if (run === leftOut || run.reportedMs - run.startedMs < MIN_EVIDENCE_MS) return;
      const totalMs = run.recentTotalMs;
      if (totalMs > 0 && this.isComparable(run)) ratios.push(this.ratioOf(run, totalMs));
    });
    const nowMs = this.deps.clock.monotonicMs();
    return this.speed.slowdown(target.targetId, ratios, sinceMs, nowMs);
  }

  private onEnded({ run, end, runtimeMs }: RunEnded): void {
    this.recordAround(run);
    if (runtimeMs === 0 || !this.isComparable(run)) return;
    // A run that did not end well counts only if its pace has shown that it was long.
    if (end !== 'done' && !run.isProjected) return;
    const isWhole = end === 'done' && !run.isContinued;
    const totalMs = isWhole ? runtimeMs : run.projectedTotalMs;
    if (isWhole && !run.isProjected) {
      const { queueId } = run.place.job.definition;
      this.countOnSoundTarget(run, this.deps.estimates.isLong(queueId, runtimeMs));
    }
    if (totalMs <= 0) return;
    const nowMs = this.deps.clock.monotonicMs();
    this.speed.recordEnded(run.targetId, this.ratioOf(run, totalMs), nowMs);
  }

  /** The ends of one report have the same other runs beside them. */
  private recordAround(ended: LiveRun): void {
    const { targetId } = ended;
    const reportedMs = this.deps.targets.get(targetId)?.reportedMs ?? 0;
    const { lastEnded } = this;
    if (lastEnded?.targetId === targetId && lastEnded.reportedMs === reportedMs) {
      lastEnded.runs.add(ended);
      return;
    }
    const slowdown = this.slowdownAround(ended);
    this.lastEnded = { targetId, reportedMs, runs: new Set([ended]), slowdown };
  }

  /**
   * Attributes a run to its queue if the other runs of the target are not long too. If all are, the
   * target is the cause; with too little evidence, the cause is unknown.
   */
  private countOnSoundTarget(live: LiveRun, isLong: boolean): void {
    const slowdown = this.slowdownAround(live);
    if (slowdown === undefined || TargetSpeed.isSlow(slowdown)) return;
    const { queueId } = live.place.job.definition;
    if (isLong) this.deps.estimates.recordOnSoundTarget(queueId, true);
    else this.shortRuns.push({ queueId, dueMs: live.startedMs + MIN_PACE_MS });
  }

  /** The pace of gangs and of filler tasks depends on more than their own target and queue. */
  private isComparable({ place: { job, step } }: LiveRun): boolean {
    if (step.spec.longRunning || step.spec.gang || step.spec.filler) return false;
    return this.deps.estimates.isTrusted(job.definition.queueId, TRUSTED_RUNS);
  }

  private ratioOf(live: LiveRun, totalMs: number): number {
    const { queueId } = live.place.job.definition;
    return totalMs / Math.max(1, this.deps.estimates.medianMs(queueId));
  }
}
