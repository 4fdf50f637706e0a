/**
 * Adjusts the sizes of pools to their demand by moving instances between them. The sizer computes
 * the size of each pool, and a fleet that is too small for all of them is divided fairly. Idle
 * instances are moved first. Instances of pools with more than their part of the fleet that still
 * run tasks are closed to new tasks and moved once they are empty.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import { type JobsConfigView } from '@acaciadock/jobs';
import {
  FleetDivider,
  type PoolDemand,
  type PoolPart,
  type PoolPressure,
  type PoolRoom,
  type PoolSize,
  PoolSizer,
  ResourceVector,
  RisingPools,
  TurnForecast,
} from '@acaciadock/placement';
import { type DemandMeter } from './DemandMeter.js';
import { type FleetInstance } from './contracts/index.js';
import { type FleetOrders } from './FleetOrders.js';
import { type Ownership } from './Ownership.js';
import { PendingMoves } from './PendingMoves.js';
import { PoolSizesLog, type PoolState } from './PoolSizesLog.js';
import { type TargetTable } from './TargetTable.js';
import { TurnRecord, TURNS_KEY } from './TurnRecord.js';
import { type ZoneEvacuation } from './ZoneEvacuation.js';

/** An instance counts as idle after nothing has run on it for this long, in milliseconds. */
const IDLE_BEFORE_MOVE_MS = 400;

/** The room of a pool isn't known from a list of instances that is older, in milliseconds. */
const MAX_LIST_AGE_MS = 2_000;

export interface PoolControllerDeps {
  readonly orders: FleetOrders;
  readonly targets: TargetTable;
  readonly demand: DemandMeter;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
  /** Whether an instance is closed to new tasks for upkeep. */
  readonly isReservedForUpkeep: (instanceId: string) => boolean;
  readonly evacuation: ZoneEvacuation;
  /**
   * Whether a long-running task can't move off an instance of the pool that is due for upkeep or in
   * an evacuated zone.
   */
  readonly relocationLacksRoom: (poolId: string) => boolean;
}

export class PoolController extends Disposable {
  private readonly sizer = new PoolSizer();

  private readonly forecast = new TurnForecast();

  private readonly rising = new RisingPools();

  private readonly pendingMoves: PendingMoves;

  /** Parts of the fleet in the last round. */
  private parts: readonly PoolPart[] = [];

  /** Start of the last turn that is in the journal, on the monotonic clock. */
  private journaledTurnMs: number | undefined;

  private readonly sizesLog: PoolSizesLog;

  constructor(private readonly deps: PoolControllerDeps) {
    super();
    this.pendingMoves = new PendingMoves(deps);
    this.sizesLog = new PoolSizesLog(deps);
  }

  /** Restores the turns recorded by a previous owner; returns false if the key is another one. */
  restore(key: string, value: Buffer): boolean {
    if (key !== TURNS_KEY) return false;
    const restored = TurnRecord.restore(value, this.forecast, this.sizer, this.deps.clock);
    if (restored.isErr()) this.deps.logger.warn('turns-unreadable', { ...restored.error });
    this.journaledTurnMs = this.forecast.recorded.at(-1)?.startMs;
    return true;
  }

  /** Runs one round: sizes the pools, then sends the moves that are due. */
  reconcile(): void {
    const nowMs = this.deps.clock.monotonicMs();
    this.pendingMoves.dropInvalid();
    this.observeArrivals(nowMs);
    const demands = this.demands();
    const spareCount = this.availableSpares().length;
    const sizes = this.sizer.size(demands, this.forecast.next(nowMs), nowMs, spareCount);
    this.journalTurns();
    const pools = this.divide(demands, sizes);
    this.sizesLog.write(demands, pools, {
      turnPoolId: this.forecast.currentPoolId,
      next: this.forecast.next(nowMs),
    });
    this.pendingMoves.complete(pools);
    this.balance(pools);
    this.parkEvacuated();
  }

  private observeArrivals(nowMs: number): void {
    const { config, demand } = this.deps;
    const arrivals = config()
      .config.pools.filter((pool) => !pool.isSpare)
      .map(({ poolId }) => ({ poolId, cpuMilli: demand.recentArrivalCpuMilli(poolId) }));
    this.forecast.observe(arrivals, nowMs);
    this.rising.observe(arrivals, nowMs);
  }

  /** Journals the turns when a new one has begun. */
  private journalTurns(): void {
    const startMs = this.forecast.recorded.at(-1)?.startMs;
    if (startMs === this.journaledTurnMs) return;
    this.journaledTurnMs = startMs;
    void this.deps.ownership.writer.write(TURNS_KEY, () =>
      TurnRecord.encode(this.forecast, this.sizer, this.deps.clock),
    );
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
          hasWaitingWork: this.deps.demand.hasWaitingWork(poolId) || this.isInTurn(poolId, nowMs),
        },
      ]),
    );
  }

  /**
   * The instances that the pool has or can get: its own, those that move to it, spare and idle ones,
   * and at least its part of the fleet. Undefined without a recent list of instances.
   */
  roomOf(poolId: string): PoolRoom | undefined {
    const { orders } = this.deps;
    if (orders.instances.length === 0 || orders.listAgeMs > MAX_LIST_AGE_MS) return undefined;
    let present = ResourceVector.ZERO;
    let movable = ResourceVector.ZERO;
    let count = 0;
    let spareCount = 0;
    orders.instances.forEach((one) => {
      if (one.state === 'down' || this.isExcluded(one)) return;
      const isAssigned = this.assignedPoolId(one) === poolId;
      const isSpare = this.isSpare(one.poolId) && this.isAvailable(one);
      if (!isAssigned && !isSpare && !this.isIdle(one)) return;
      const isPresent = isAssigned && one.poolId === poolId && one.state === 'up';
      if (isPresent) present = present.plus(one.capacity);
      else movable = movable.plus(one.capacity);
      count += 1;
      if (isSpare && !isAssigned) spareCount += 1;
    });
    const missing = PoolController.partOf(this.parts, poolId) - count;
    const [example] = orders.instances;
    if (example && missing > 0) movable = movable.plus(example.capacity, missing);
    return { present, movable, spareCount };
  }

  private divide(demands: readonly PoolDemand[], sizes: readonly PoolSize[]): PoolState[] {
    const fleetSize = this.deps.orders.instances.filter(
      (one) => one.state !== 'down' && !this.isExcluded(one),
    ).length;
    const parts = FleetDivider.divide(sizes, fleetSize);
    this.parts = parts;
    return sizes.map((size) => ({
      size,
      count: demands.find(({ poolId }) => poolId === size.poolId)?.instanceCount ?? 0,
      part: PoolController.partOf(parts, size.poolId),
    }));
  }

  private static partOf(parts: readonly PoolPart[], poolId: string): number {
    return parts.find((part) => part.poolId === poolId)?.count ?? 0;
  }

  /**
   * Moves available instances to the pools that have fewer than their part. If there is no such
   * pool, surplus instances are moved to the spare pool.
   */
  private balance(pools: readonly PoolState[]): void {
    const lacking = pools
      .map((pool) => ({ poolId: pool.size.poolId, missing: pool.part - pool.count }))
      .filter(({ missing }) => missing > 0)
      .sort((a, b) => b.missing - a.missing);
    const surplus = this.surplusOf(pools);
    if (lacking.length === 0) {
      this.moveToSparePool(surplus);
      return;
    }
    const donors = [...this.availableSpares(), ...surplus];
    donors.push(...this.idleBeyondShare(pools, donors));
    donors.splice(this.deps.orders.allowance);
    // Instances that the pools still lack.
    let open = lacking.reduce((sum, { missing }) => sum + missing, 0);
    lacking.forEach(({ poolId, missing }) => {
      const given = donors.splice(0, missing);
      open -= given.length;
      given.forEach((instance) => {
        void this.deps.orders.move(instance, poolId);
      });
    });
    // While the fleet is large enough for all pools, instances become idle as load shifts between
    // pools, so instances that run tasks need not be emptied.
    const isScarce = pools.some(({ part, size }) => part < size.needed);
    if (open > 0 && isScarce) this.reclaim(pools, lacking);
  }

  private availableSpares(): FleetInstance[] {
    return this.deps.orders.instances.filter(
      (one) => this.isSpare(one.poolId) && this.isAvailable(one),
    );
  }

  /** Idle instances in excess of what their pools keep. */
  private surplusOf(pools: readonly PoolState[]): FleetInstance[] {
    return pools.flatMap(({ size, count }) =>
      this.idleOf(size.poolId).slice(0, Math.max(0, count - size.kept)),
    );
  }

  /**
   * Idle instances beyond the part of their pool, which the pool would otherwise keep. They are
   * moved only if another pool lacks instances.
   */
  private idleBeyondShare(
    pools: readonly PoolState[],
    donors: readonly FleetInstance[],
  ): FleetInstance[] {
    return pools.flatMap(({ size, count, part }) => {
      const given = donors.filter((one) => one.poolId === size.poolId).length;
      const idle = this.idleOf(size.poolId).filter((one) => !donors.includes(one));
      return idle.slice(0, Math.max(0, count - given - part));
    });
  }

  private moveToSparePool(surplus: readonly FleetInstance[]): void {
    const [sparePoolId] = this.deps.config().sparePoolIds;
    if (sparePoolId === undefined) return;
    surplus.slice(0, this.deps.orders.allowance).forEach((instance) => {
      void this.deps.orders.move(instance, sparePoolId);
    });
  }

  /**
   * Moves empty instances of evacuated zones to the spare pool. They take no tasks, and an instance in
   * a pool costs about as much in a second as a move does.
   */
  private parkEvacuated(): void {
    const evacuated = this.deps.orders.instances.filter((one) => this.isEvacuatedAndEmpty(one));
    this.moveToSparePool(evacuated);
  }

  private isEvacuatedAndEmpty({
    instanceId,
    poolId,
    zoneId,
    targetId,
    state,
  }: FleetInstance): boolean {
    const { evacuation, orders, targets, isReservedForUpkeep } = this.deps;
    if (state !== 'up' || this.isSpare(poolId) || !evacuation.isEvacuated(zoneId)) return false;
    if (orders.isBlocked(instanceId) || isReservedForUpkeep(instanceId)) return false;
    return targets.get(targetId)?.runs.size === 0;
  }

  /**
   * Closes instances that run tasks to new ones, in pools that have more than their part, the least
   * loaded first.
   */
  private reclaim(
    pools: readonly PoolState[],
    lacking: readonly { readonly poolId: string; readonly missing: number }[],
  ): void {
    const wanted = lacking.flatMap(({ poolId, missing }) =>
      Array.from({ length: missing }, () => poolId),
    );
    // Instances that run tasks.
    const busy = pools.flatMap((pool) => this.drainableOf(pool));
    const maxReclaims = Math.min(this.deps.orders.allowance, wanted.length);
    busy.slice(0, maxReclaims).forEach((instance, index) => {
      const poolId = wanted[index];
      const target = this.deps.targets.get(instance.targetId);
      if (poolId === undefined || !target) return;
      this.pendingMoves.add(instance, target, poolId);
    });
  }

  /** Instances beyond the pool's part that run no long-running tasks, the least loaded first. */
  private drainableOf({ size, count, part }: PoolState): FleetInstance[] {
    const nowMs = this.deps.clock.monotonicMs();
    const loadOf = (one: FleetInstance): number =>
      this.deps.targets.get(one.targetId)?.usedCpuMilli ?? 0;
    return this.deps.orders.instances
      .filter((one) => one.poolId === size.poolId && this.isAvailable(one))
      .filter((one) => {
        const target = this.deps.targets.get(one.targetId);
        return target?.isOpen(nowMs) === true && target.longRunningCount === 0;
      })
      .sort((a, b) => loadOf(a) - loadOf(b))
      .slice(0, Math.max(0, count - part));
  }

  private demands(): PoolDemand[] {
    return this.deps
      .config()
      .config.pools.filter((pool) => !pool.isSpare)
      .map(({ poolId }) => this.demandOf(poolId));
  }

  private demandOf(poolId: string): PoolDemand {
    const { clock, orders, demand, targets, relocationLacksRoom } = this.deps;
    const present = orders.instances.filter(
      (one) => this.assignedPoolId(one) === poolId && this.countsTowardsSize(one),
    );
    const capacity =
      present[0]?.capacity ?? orders.instances[0]?.capacity ?? new ResourceVector(1, 0, 0);
    const poolTargets = targets.ofPool(poolId);
    const open = poolTargets.filter((target) => target.isOpen(clock.monotonicMs()));
    return {
      poolId,
      ...demand.needed(poolId, poolTargets, capacity),
      arriving: demand.arriving(poolId),
      targetsForSuspects: demand.targetsForSuspects(poolId),
      hasHadTurn: this.forecast.hasHadTurn(poolId),
      isRising: this.rising.isRising(poolId, clock.monotonicMs()),
      lacksPlace:
        demand.hasLongRunningWaiting(poolId) ||
        demand.hasTaskWithoutPlace(poolId, open, capacity) ||
        relocationLacksRoom(poolId),
      instanceCount: present.length,
      openCount: open.length,
      capacity,
    };
  }

  private assignedPoolId(instance: FleetInstance): string {
    return (
      this.pendingMoves.poolOf(instance.instanceId) ?? this.deps.orders.poolAfterOrders(instance)
    );
  }

  /**
   * Whether the instance takes tasks or soon will. False while it is down, while it is emptied for
   * upkeep, while its zone is evacuated or while its target drains or does not answer.
   */
  private countsTowardsSize(instance: FleetInstance): boolean {
    const { instanceId, targetId, state } = instance;
    if (state === 'down' || this.isExcluded(instance)) return false;
    if (this.deps.orders.hasOrder(instanceId) || this.pendingMoves.has(instanceId)) return true;
    const target = this.deps.targets.get(targetId);
    if (!target) return true;
    return !target.isReserved && !target.isDraining && target.consecutiveFailures === 0;
  }

  private isAvailable(instance: FleetInstance): boolean {
    const { instanceId, state } = instance;
    if (state !== 'up' || this.pendingMoves.has(instanceId)) return false;
    return !this.deps.orders.isBlocked(instanceId) && !this.isExcluded(instance);
  }

  /** Whether the instance is left out of sizes and moves, for upkeep or an evacuation. */
  private isExcluded({ instanceId, zoneId }: FleetInstance): boolean {
    return this.deps.isReservedForUpkeep(instanceId) || this.deps.evacuation.isEvacuated(zoneId);
  }

  private idleOf(poolId: string): FleetInstance[] {
    const nowMs = this.deps.clock.monotonicMs();
    return this.deps.orders.instances.filter((instance) => {
      const idleSinceMs = this.deps.targets.get(instance.targetId)?.idleSinceMs ?? nowMs;
      if (instance.poolId !== poolId || !this.isIdle(instance)) return false;
      return nowMs - idleSinceMs > IDLE_BEFORE_MOVE_MS;
    });
  }

  /** Whether the instance could be moved at once and runs nothing. */
  private isIdle(instance: FleetInstance): boolean {
    const target = this.deps.targets.get(instance.targetId);
    if (!target || !this.isAvailable(instance)) return false;
    return target.isOpen(this.deps.clock.monotonicMs()) && target.runs.size === 0;
  }

  /** Whether the pool has its turn of high demand now or is forecast to have the next one. */
  private isInTurn(poolId: string, nowMs: number): boolean {
    return this.forecast.currentPoolId === poolId || this.forecast.next(nowMs)?.poolId === poolId;
  }
}
