/** Measures the demand of the running, the waiting and the arriving work of each pool. */
import { type Clock } from '@acaciadock/core';
import {
  ArrivalMeter,
  IsolationPolicy,
  QueueOrder,
  type Resources,
  ResourceVector,
  type RuntimeEstimates,
  TaskFitBound,
  type Urgency,
} from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { type JobEntry } from './JobEntry.js';
import { type QueuedStep } from './QueuedStep.js';
import { RoomBesideLongRunning } from './RoomBesideLongRunning.js';

/**
 * Time over which waiting work of each urgency may be spread, in milliseconds. The less its result
 * is still worth, the longer it may wait.
 */
const SPREAD_MS: Record<Urgency, number> = {
  'in-time': 0,
  late: 3_000,
  'beyond-share': 3_000,
  worthless: 10_000,
};

export class DemandMeter {
  private readonly arrivals = new Map<string, ArrivalMeter>();

  /**
   * Steps that found no room in the last pass over each pool, without those that wait because their
   * team is at its limit.
   */
  private readonly waitingByPool = new Map<string, readonly QueuedStep[]>();

  /** Jobs with suspects that the last pass over each pool left waiting. */
  private readonly suspectJobsByPool = new Map<string, number>();

  /** The running and arriving work of each pool at its last pass. */
  private readonly workByPool = new Map<string, ResourceVector>();

  constructor(
    private readonly estimates: RuntimeEstimates,
    private readonly clock: Clock,
  ) {}

  /**
   * Records the steps that found no room in a pass over the pool, and the number of jobs with suspects
   * that wait for a target that is kept for suspects.
   */
  recordWaiting(poolId: string, steps: readonly QueuedStep[], suspectJobs: number): void {
    this.waitingByPool.set(poolId, steps);
    this.suspectJobsByPool.set(poolId, suspectJobs);
  }

  /** Targets that the pool needs for suspects alone, besides those for its other work. */
  targetsForSuspects(poolId: string): number {
    return IsolationPolicy.neededTargets(this.suspectJobsByPool.get(poolId) ?? 0);
  }

  /** Whether the last pass over the pool left tasks without room. */
  isScarce(poolId: string): boolean {
    return (this.waitingByPool.get(poolId)?.length ?? 0) > 0;
  }

  /** Records, before a pass over the pool, the work that its open targets run. */
  recordRunning(poolId: string, targets: readonly FleetTarget[]): void {
    const running = targets.reduce((sum, { used }) => sum.plus(used), ResourceVector.ZERO);
    this.workByPool.set(poolId, running.plus(this.arriving(poolId)));
  }

  /** The running and arriving work of the pool, by whose proportions tasks are packed. */
  workOf(poolId: string): ResourceVector | undefined {
    const work = this.workByPool.get(poolId);
    return work?.isZero === false ? work : undefined;
  }

  /** Records the expected work of a job that has just been accepted. */
  recordArrival(poolId: string, entry: JobEntry): void {
    const { queueId, spec } = entry.job.definition;
    const work = spec.steps
      .filter((step) => !step.longRunning)
      .reduce((sum, step) => {
        const runtimeMs = this.estimates.meanMs(queueId, step.estimatedRuntimeMs);
        return sum.plus(step, step.taskCount * runtimeMs);
      }, ResourceVector.ZERO);
    const meter = this.arrivals.get(poolId) ?? new ArrivalMeter();
    this.arrivals.set(poolId, meter);
    meter.note(work, this.clock.monotonicMs());
  }

  /** Resources needed to keep up with the arrivals at the pool. */
  arriving(poolId: string): ResourceVector {
    return this.arrivals.get(poolId)?.rate(this.clock.monotonicMs()) ?? ResourceVector.ZERO;
  }

  /** CPU needed to keep up with the arrivals of the last moments, in thousandths of a core. */
  recentArrivalCpuMilli(poolId: string): number {
    return this.arrivals.get(poolId)?.recentRate(this.clock.monotonicMs()).cpuMilli ?? 0;
  }

  /**
   * Whether tasks wait for room in the pool. Filler tasks do not count, as they use only idle CPU,
   * nor do tasks that wait because their team is at its limit.
   */
  hasWaitingWork(poolId: string): boolean {
    return (this.waitingByPool.get(poolId) ?? []).some(
      ({ step }) => !step.spec.filler && step.tasks.some((task) => task.isWaiting),
    );
  }

  /**
   * Resources that the pool needs for its running and its waiting tasks, and the number of instances
   * of the given capacity that these tasks need at least. Of the waiting tasks, the same count as in
   * `hasWaitingWork`: in full if they can still meet their objective. Tasks that are already late
   * can run one after the other, so they need less for a longer time.
   */
  needed(
    poolId: string,
    targets: readonly FleetTarget[],
    capacity: Resources,
  ): { demand: ResourceVector; bounds: TaskFitBound } {
    const bounds = new TaskFitBound(capacity);
    let demand = ResourceVector.ZERO;
    for (const target of targets) {
      demand = demand.plus(target.used);
      for (const { place } of target.runs.values()) {
        bounds.add(place.step.stepId, place.step.spec, 1);
      }
    }
    const nowUnixMs = this.clock.unixMs();
    for (const open of this.waitingByPool.get(poolId) ?? []) {
      const { spec, stepId, waitingTasks } = open.step;
      if (spec.filler) continue;
      const count = waitingTasks.length * this.shareOf(open, nowUnixMs);
      demand = demand.plus(spec, count);
      bounds.add(stepId, spec, count);
    }
    return { demand, bounds };
  }

  /** Whether any task found no room in the last pass over the pool. */
  hasWaiting(poolId: string): boolean {
    return (this.waitingByPool.get(poolId) ?? []).length > 0;
  }

  /** Whether long-running tasks wait for room in the pool. */
  hasLongRunningWaiting(poolId: string): boolean {
    return (this.waitingByPool.get(poolId) ?? []).some((open) => open.isLongRunning);
  }

  /**
   * Whether a task waits that none of these open targets of the pool could take beside its long-running
   * tasks, so that it would wait until those end. An instance of the given capacity could take it.
   */
  hasTaskWithoutPlace(poolId: string, open: readonly FleetTarget[], capacity: Resources): boolean {
    const waiting = this.waitingByPool.get(poolId) ?? [];
    if (waiting.length === 0) return false;
    const room = new RoomBesideLongRunning(open);
    return waiting.some(
      ({ step }) => step.waitingTasks.length > 0 && room.needsAnother(step.spec, capacity),
    );
  }

  /** The part of a waiting step's resources that the pool needs for it now. */
  private shareOf(open: QueuedStep, nowUnixMs: number): number {
    const spreadMs = SPREAD_MS[QueueOrder.urgencyOf(open, nowUnixMs)];
    if (open.isLongRunning || spreadMs === 0) return 1;
    const { queueId } = open.entry.job.definition;
    const runtimeMs = this.estimates.meanMs(queueId, open.step.spec.estimatedRuntimeMs);
    return Math.min(1, runtimeMs / spreadMs);
  }
}
