/** Measures the CPU demand of the arriving and the waiting work of each pool. */
import { type Clock } from '@acaciadock/core';
import {
  ArrivalMeter,
  QueueOrder,
  type RuntimeEstimates,
  type Urgency,
} from '@acaciadock/placement';
import { type JobEntry } from './JobEntry.js';
import { type QueuedStep } from './QueuedStep.js';

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

  constructor(
    private readonly estimates: RuntimeEstimates,
    private readonly clock: Clock,
  ) {}

  /** Records the steps that found no room in a pass over the pool. */
  recordWaiting(poolId: string, steps: readonly QueuedStep[]): void {
    this.waitingByPool.set(poolId, steps);
  }

  /** Whether the last pass over the pool left tasks without room. */
  isScarce(poolId: string): boolean {
    return (this.waitingByPool.get(poolId)?.length ?? 0) > 0;
  }

  /** Records the expected CPU time of a job that has just been accepted. */
  recordArrival(poolId: string, entry: JobEntry): void {
    const { queueId, spec } = entry.job.definition;
    const cpuMilliMs = spec.steps
      .filter((step) => !step.longRunning)
      .reduce((sum, step) => {
        const runtimeMs = this.estimates.meanMs(queueId, step.estimatedRuntimeMs);
        return sum + step.taskCount * step.cpuMilli * runtimeMs;
      }, 0);
    const meter = this.arrivals.get(poolId) ?? new ArrivalMeter();
    this.arrivals.set(poolId, meter);
    meter.note(cpuMilliMs, this.clock.monotonicMs());
  }

  /** CPU needed to keep up with the arrivals at the pool, thousandths of a core. */
  arrivingCpuMilli(poolId: string): number {
    return this.arrivals.get(poolId)?.cpuMilli(this.clock.monotonicMs()) ?? 0;
  }

  /**
   * CPU requested by the pool's waiting tasks, thousandths of a core. Filler tasks do not count, as
   * they use only idle CPU, nor do tasks that wait because their team is at its limit.
   */
  waitingCpuMilli(poolId: string): number {
    const waiting = this.waitingByPool.get(poolId) ?? [];
    return waiting.reduce((sum, { step }) => {
      if (step.spec.filler) return sum;
      return sum + step.spec.cpuMilli * step.waitingTasks.length;
    }, 0);
  }

  /**
   * CPU that the pool needs for its waiting tasks, thousandths of a core, without the same tasks as
   * in `waitingCpuMilli`. Tasks that can still meet their objective count in full. Tasks that are
   * already late can run one after the other, so they need fewer cores for a longer time.
   */
  neededCpuMilli(poolId: string): number {
    const waiting = this.waitingByPool.get(poolId) ?? [];
    const nowUnixMs = this.clock.unixMs();
    return waiting.reduce((sum, open) => {
      const { spec } = open.step;
      if (spec.filler) return sum;
      const cpuMilli = spec.cpuMilli * open.step.waitingTasks.length;
      const spreadMs = SPREAD_MS[QueueOrder.urgencyOf(open, nowUnixMs)];
      if (open.isLongRunning || spreadMs === 0) return sum + cpuMilli;
      const { queueId } = open.entry.job.definition;
      const runtimeMs = this.estimates.meanMs(queueId, spec.estimatedRuntimeMs);
      return sum + cpuMilli * Math.min(1, runtimeMs / spreadMs);
    }, 0);
  }

  /** Whether long-running tasks wait for room in the pool. */
  hasLongRunningWaiting(poolId: string): boolean {
    return (this.waitingByPool.get(poolId) ?? []).some((open) => open.isLongRunning);
  }
}
