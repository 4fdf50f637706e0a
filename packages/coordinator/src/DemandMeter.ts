/** How much processor each pool's arriving and waiting work asks for. */
import { type Clock } from '@acaciadock/core';
import {
  ArrivalMeter,
  QueueOrder,
  type RuntimeEstimates,
  type Urgency,
} from '@acaciadock/placement';
import { type JobEntry } from './JobEntry.js';
import { type OpenStep } from './OpenStep.js';

/** Over which time waiting work may be spread, in milliseconds: its answer is worth little later. */
const SPREAD_MS: Record<Urgency, number> = {
  'in-time': 0,
  late: 3_000,
  'beyond-share': 3_000,
  worthless: 10_000,
};

export class DemandMeter {
  private readonly arrivals = new Map<string, ArrivalMeter>();

  /** Steps that the pool had no room for in the last pass; a team at its limit is not among them. */
  private readonly waitingByPool = new Map<string, readonly OpenStep[]>();

  constructor(
    private readonly estimates: RuntimeEstimates,
    private readonly clock: Clock,
  ) {}

  /** Takes up which steps found no room in a pass over the pool. */
  noteWaiting(poolId: string, steps: readonly OpenStep[]): void {
    this.waitingByPool.set(poolId, steps);
  }

  /** Notes a job that has just been accepted. */
  noteArrival(poolId: string, entry: JobEntry): void {
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

  /** Processor that keeps up with what arrives at the pool, thousandths of a core. */
  arrivingCpuMilli(poolId: string): number {
    return this.arrivals.get(poolId)?.cpuMilli(this.clock.monotonicMs()) ?? 0;
  }

  /** Processor that the pool's waiting tasks ask for, thousandths of a core. */
  waitingCpuMilli(poolId: string): number {
    const waiting = this.waitingByPool.get(poolId) ?? [];
    return waiting.reduce((sum, { step }) => {
      if (step.spec.filler) return sum;
      return sum + step.spec.cpuMilli * step.waitingTasks.length;
    }, 0);
  }

  /**
   * Processor that the pool needs for its waiting tasks, thousandths of a core. What can still be
   * in time is wanted at once; what is late can wait its turn, so it needs fewer cores for longer.
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

  /** Whether tasks that last wait for room in the pool. */
  hasServingWaiting(poolId: string): boolean {
    return (this.waitingByPool.get(poolId) ?? []).some((open) => open.isLongRunning);
  }
}
