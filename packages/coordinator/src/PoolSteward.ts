/**
 * Keeps each pool at the size that its work needs: sizes are asked of the sizer, a fleet that is
 * too small is divided fairly, idle instances move first, and busy ones of pools that have more
 * than their part are closed, emptied and moved.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import { type JobsConfigView } from '@acaciadock/jobs';
import {
  FleetDivider,
  type PoolDemand,
  type PoolPart,
  type PoolPressure,
  type PoolSize,
  PoolSizer,
  TurnForecast,
} from '@acaciadock/placement';
import { type DemandMeter } from './DemandMeter.js';
import { type FleetInstance } from './contracts/index.js';
import { type FleetOrders } from './FleetOrders.js';
import { type TargetTable } from './TargetTable.js';

/** An instance is given away after it has been empty this long, in milliseconds. */
const IDLE_BEFORE_MOVE_MS = 400;

/** Between two log lines about the sizes of pools, in milliseconds. */
const SIZES_LOG_MS = 1_000;

/** Orders sent at the same time. */
const MOST_ORDERS = 8;

export interface PoolStewardDeps {
  readonly orders: FleetOrders;
  readonly targets: TargetTable;
  readonly demand: DemandMeter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
  /** Whether an instance is being emptied for its upkeep. */
  readonly isReservedForUpkeep: (instanceId: string) => boolean;
  /** Whether what serves can't leave an instance of the pool that is due for upkeep. */
  readonly upkeepLacksRoom: (poolId: string) => boolean;
}

/** A pool with its size and the instances that it has or will have. */
interface PoolState {
  readonly size: PoolSize;
  readonly count: number;
  /** What the pool is entitled to. */
  readonly part: number;
}

export class PoolSteward extends Disposable {
  private readonly sizer = new PoolSizer();

  private readonly forecast = new TurnForecast();

  /** Instances that are being emptied, and the pool that each goes to. */
  private readonly promised = new Map<string, string>();

  private sizesLoggedMs = -Infinity;

  constructor(private readonly deps: PoolStewardDeps) {
    super();
  }

  work(): void {
    const nowMs = this.deps.clock.monotonicMs();
    this.forgetBroken();
    const demands = this.demands();
    this.forecast.observe(
      demands.map(({ poolId, arrivingCpuMilli }) => ({ poolId, cpuMilli: arrivingCpuMilli })),
      nowMs,
    );
    const sizes = this.sizer.size(demands, this.forecast.next(nowMs), nowMs);
    const pools = this.divide(demands, sizes);
    this.logSizes(demands, pools, nowMs);
    this.movePromised(pools);
    this.balance(pools);
  }

  isSpare(poolId: string): boolean {
    return this.deps.config().pool(poolId)?.isSpare ?? false;
  }

  pressures(): Map<string, PoolPressure> {
    const nowMs = this.deps.clock.monotonicMs();
    return new Map(
      this.deps.config().config.pools.map(({ poolId }) => [
        poolId,
        {
          openCount: this.deps.targets.ofPool(poolId).filter((target) => target.isOpen(nowMs))
            .length,
          hasWaitingWork:
            this.deps.demand.waitingCpuMilli(poolId) > 0 || this.isInTurn(poolId, nowMs),
        },
      ]),
    );
  }

  private divide(demands: readonly PoolDemand[], sizes: readonly PoolSize[]): PoolState[] {
    const fleetSize = this.deps.orders.instances.filter(
      (one) => one.state !== 'down' && !this.deps.isReservedForUpkeep(one.instanceId),
    ).length;
    const parts = FleetDivider.divide(sizes, fleetSize);
    return sizes.map((size) => ({
      size,
      count: demands.find(({ poolId }) => poolId === size.poolId)?.instanceCount ?? 0,
      part: PoolSteward.partOf(parts, size.poolId),
    }));
  }

  private static partOf(parts: readonly PoolPart[], poolId: string): number {
    return parts.find((part) => part.poolId === poolId)?.count ?? 0;
  }

  /** Gives instances to pools that lack some; without any such pool, parks what is idle. */
  private balance(pools: readonly PoolState[]): void {
    const lacking = pools
      .map((pool) => ({ poolId: pool.size.poolId, missing: pool.part - pool.count }))
      .filter(({ missing }) => missing > 0)
      .sort((a, b) => b.missing - a.missing);
    const donors = this.donors(pools);
    if (lacking.length === 0) {
      this.park(donors);
      return;
    }
    donors.push(...this.lenders(pools, donors));
    let open = lacking.reduce((sum, { missing }) => sum + missing, 0);
    lacking.forEach(({ poolId, missing }) => {
      const given = donors.splice(0, missing);
      open -= given.length;
      given.forEach((instance) => {
        void this.deps.orders.move(instance, poolId);
      });
    });
    // While the fleet has enough, instances become empty by themselves as turns end.
    const isScarce = pools.some(({ part, size }) => part < size.needed);
    if (open > 0 && isScarce) this.reclaim(pools, lacking);
  }

  /** Instances that may be given away: spare ones first, then empty ones of pools with too many. */
  private donors(pools: readonly PoolState[]): FleetInstance[] {
    const { instances } = this.deps.orders;
    const spare = instances.filter((one) => this.isSpare(one.poolId) && this.isFree(one));
    const surplus = pools.flatMap(({ size, count }) =>
      this.idleOf(size.poolId).slice(0, Math.max(0, count - size.kept)),
    );
    return [...spare, ...surplus].slice(0, MOST_ORDERS);
  }

  /** Empty instances that pools keep without needing them now; only for pools that lack some. */
  private lenders(pools: readonly PoolState[], donors: readonly FleetInstance[]): FleetInstance[] {
    return pools.flatMap(({ size, count, part }) => {
      const given = donors.filter((one) => one.poolId === size.poolId).length;
      const idle = this.idleOf(size.poolId).filter((one) => !donors.includes(one));
      return idle.slice(0, Math.max(0, count - given - part));
    });
  }

  private park(donors: readonly FleetInstance[]): void {
    const [sparePoolId] = this.deps.config().sparePoolIds;
    if (sparePoolId === undefined) return;
    donors
      .filter((instance) => !this.isSpare(instance.poolId))
      .forEach((instance) => {
        void this.deps.orders.move(instance, sparePoolId);
      });
  }

  /** Closes busy instances of pools that have more than their part, the emptiest first. */
  private reclaim(
    pools: readonly PoolState[],
    lacking: readonly { readonly poolId: string; readonly missing: number }[],
  ): void {
    const wanted = lacking.flatMap(({ poolId, missing }) =>
      Array.from({ length: missing }, () => poolId),
    );
    const busy = pools.flatMap((pool) => this.closableOf(pool));
    busy.slice(0, Math.min(MOST_ORDERS, wanted.length)).forEach((instance, index) => {
      const poolId = wanted[index];
      const target = this.deps.targets.get(instance.targetId);
      if (poolId === undefined || !target) return;
      target.isReserved = true;
      this.promised.set(instance.instanceId, poolId);
      this.deps.logger.info('instance-reclaimed', {
        instanceId: instance.instanceId,
        fromPoolId: instance.poolId,
        poolId,
        runs: target.runs.size,
      });
    });
  }

  /** Instances without tasks that last which the pool has beyond its part. */
  private closableOf({ size, count, part }: PoolState): FleetInstance[] {
    const nowMs = this.deps.clock.monotonicMs();
    const loadOf = (one: FleetInstance): number =>
      this.deps.targets.get(one.targetId)?.usedCpuMilli ?? 0;
    return this.deps.orders.instances
      .filter((one) => one.poolId === size.poolId && this.isFree(one))
      .filter((one) => {
        const target = this.deps.targets.get(one.targetId);
        return target?.isOpen(nowMs) === true && target.longRunningCount === 0;
      })
      .sort((a, b) => loadOf(a) - loadOf(b))
      .slice(0, Math.max(0, count - part));
  }

  /** Moves what has become empty; opens again what is no longer wanted elsewhere. */
  private movePromised(pools: readonly PoolState[]): void {
    this.promised.forEach((poolId, instanceId) => {
      const instance = this.deps.orders.instances.find((one) => one.instanceId === instanceId);
      const target = this.deps.targets.get(instance?.targetId ?? '');
      const taker = pools.find(({ size }) => size.poolId === poolId);
      if (!instance || !target) return;
      if (taker && taker.part < taker.count) {
        target.isReserved = false;
        this.promised.delete(instanceId);
        return;
      }
      if (target.runs.size > 0) return;
      this.promised.delete(instanceId);
      void this.deps.orders.move(instance, poolId);
    });
  }

  /** Forgets instances that are gone, down, under another order or wanted for upkeep. */
  private forgetBroken(): void {
    const { orders, isReservedForUpkeep } = this.deps;
    this.promised.forEach((_, instanceId) => {
      const instance = orders.instances.find((one) => one.instanceId === instanceId);
      const isTaken = orders.hasOrder(instanceId) || isReservedForUpkeep(instanceId);
      if (instance?.state !== 'up' || isTaken) this.promised.delete(instanceId);
    });
  }

  private demands(): PoolDemand[] {
    return this.deps
      .config()
      .config.pools.filter((pool) => !pool.isSpare)
      .map(({ poolId }) => this.demandOf(poolId));
  }

  private demandOf(poolId: string): PoolDemand {
    const { clock, orders, demand, targets, upkeepLacksRoom } = this.deps;
    const present = orders.instances.filter(
      (one) => this.poolToBe(one) === poolId && this.isOfUse(one),
    );
    const running = targets.ofPool(poolId).reduce((sum, target) => sum + target.usedCpuMilli, 0);
    return {
      poolId,
      demandCpuMilli: demand.neededCpuMilli(poolId) + running,
      arrivingCpuMilli: demand.arrivingCpuMilli(poolId),
      hasHadTurn: this.forecast.hasHadTurn(poolId),
      hasServingWaiting: demand.hasServingWaiting(poolId) || upkeepLacksRoom(poolId),
      instanceCount: present.length,
      openCount: targets.ofPool(poolId).filter((target) => target.isOpen(clock.monotonicMs()))
        .length,
      cpuMilliPerInstance:
        present[0]?.capacity.cpuMilli ?? orders.instances[0]?.capacity.cpuMilli ?? 1,
    };
  }

  private poolToBe(instance: FleetInstance): string {
    return this.promised.get(instance.instanceId) ?? this.deps.orders.poolAfterOrders(instance);
  }

  /** Whether the instance takes work, or is on its way to; not while it is emptied or silent. */
  private isOfUse({ instanceId, targetId }: FleetInstance): boolean {
    if (this.deps.isReservedForUpkeep(instanceId)) return false;
    if (this.deps.orders.hasOrder(instanceId) || this.promised.has(instanceId)) return true;
    const target = this.deps.targets.get(targetId);
    return target === undefined || (!target.isReserved && target.failedHolds === 0);
  }

  private isFree({ instanceId, state }: FleetInstance): boolean {
    if (state !== 'up' || this.promised.has(instanceId)) return false;
    return !this.deps.orders.isTaken(instanceId) && !this.deps.isReservedForUpkeep(instanceId);
  }

  private idleOf(poolId: string): FleetInstance[] {
    const nowMs = this.deps.clock.monotonicMs();
    return this.deps.orders.instances.filter((instance) => {
      const target = this.deps.targets.get(instance.targetId);
      if (instance.poolId !== poolId || !target || !this.isFree(instance)) return false;
      if (!target.isOpen(nowMs) || target.runs.size > 0) return false;
      return nowMs - target.idleSinceMs > IDLE_BEFORE_MOVE_MS;
    });
  }

  /** Whether the pool is, or will soon be, the one that asks for much. */
  private isInTurn(poolId: string, nowMs: number): boolean {
    return this.forecast.currentPoolId === poolId || this.forecast.next(nowMs)?.poolId === poolId;
  }

  private logSizes(
    demands: readonly PoolDemand[],
    pools: readonly PoolState[],
    nowMs: number,
  ): void {
    if (nowMs - this.sizesLoggedMs < SIZES_LOG_MS) return;
    this.sizesLoggedMs = nowMs;
    this.deps.logger.info('pool-sizes', {
      pools: demands.map((demand, index) => ({
        poolId: demand.poolId,
        instances: demand.instanceCount,
        needed: pools[index]?.size.needed,
        kept: pools[index]?.size.kept,
        part: pools[index]?.part,
        demandCpuMilli: demand.demandCpuMilli,
        arrivingCpuMilli: Math.round(demand.arrivingCpuMilli),
      })),
      turnPoolId: this.forecast.currentPoolId,
      next: this.forecast.next(nowMs),
      listAgeMs: Math.round(this.deps.orders.listAgeMs),
    });
  }
}
