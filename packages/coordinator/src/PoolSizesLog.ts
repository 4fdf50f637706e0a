/** Logs the sizes of the pools, what they need and what their instances do, at most once a second. */
import { type Clock, type Logger } from '@acaciadock/core';
import { type NextTurn, type PoolDemand, type PoolSize } from '@acaciadock/placement';
import { type FleetInstance } from './contracts/index.js';
import { type FleetOrders } from './FleetOrders.js';
import { type TargetTable } from './TargetTable.js';

/** Interval of the log line, in milliseconds. */
const PERIOD_MS = 1_000;

/** A pool with its computed size, its current instances and its part of the fleet. */
export interface PoolState {
  readonly size: PoolSize;
  /** Instances that the pool has, or will have once pending moves are done. */
  readonly count: number;
  /** Instances that the pool is entitled to when the fleet is divided fairly. */
  readonly part: number;
}

/** The turns as the forecast sees them. */
export interface TurnState {
  readonly turnPoolId: string | undefined;
  readonly next: NextTurn | undefined;
}

export interface PoolSizesLogDeps {
  readonly orders: FleetOrders;
  readonly targets: TargetTable;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Numbers of a pool's instances by what they do. */
interface InstanceUse {
  busy: number;
  idle: number;
  closed: number;
  /** In a move or in upkeep. */
  moving: number;
  down: number;
  /** Up, and not known as a target yet. */
  unknown: number;
}

export class PoolSizesLog {
  private writtenMs = -Infinity;

  constructor(private readonly deps: PoolSizesLogDeps) {}

  /** `demands` and `pools` are in the same order. */
  write(demands: readonly PoolDemand[], pools: readonly PoolState[], turns: TurnState): void {
    const { clock, logger, orders } = this.deps;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.writtenMs < PERIOD_MS) return;
    this.writtenMs = nowMs;
    logger.info('pool-sizes', {
      pools: demands.map((demand, index) => this.describe(demand, pools[index])),
      ...turns,
      listAgeMs: Math.round(orders.listAgeMs),
    });
  }

  private describe(demand: PoolDemand, pool: PoolState | undefined): Record<string, unknown> {
    return {
      poolId: demand.poolId,
      instances: demand.instanceCount,
      needed: pool?.size.needed,
      kept: pool?.size.kept,
      part: pool?.part,
      ...this.useOf(demand.poolId),
      limitedBy: pool?.size.limitedBy,
      demandCpuMilli: demand.demand.cpuMilli,
      demandMemoryMb: Math.round(demand.demand.memoryMb),
      targetsForSuspects: demand.targetsForSuspects,
      arrivingCpuMilli: Math.round(demand.arriving.cpuMilli),
    };
  }

  private useOf(poolId: string): InstanceUse {
    const use: InstanceUse = { busy: 0, idle: 0, closed: 0, moving: 0, down: 0, unknown: 0 };
    this.deps.orders.instances
      .filter((instance) => instance.poolId === poolId)
      .forEach((instance) => {
        use[this.useOfInstance(instance)] += 1;
      });
    return use;
  }

  private useOfInstance({ state, targetId }: FleetInstance): keyof InstanceUse {
    if (state === 'down') return 'down';
    if (state !== 'up') return 'moving';
    const target = this.deps.targets.get(targetId);
    if (!target) return 'unknown';
    if (!target.isOpen(this.deps.clock.monotonicMs())) return 'closed';
    return target.runs.size > 0 ? 'busy' : 'idle';
  }
}
