/**
 * Orders moves of instances between pools and their upkeep. Each order is two steps: take no more
 * work there, then act once nothing runs. Only the owner of the journal orders, with its epoch as
 * fencing token, and only after the former owner's last order is long enough past.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import { type JobsConfigView } from '@acaciadock/jobs';
import {
  type PoolDemand,
  type PoolPressure,
  PoolSizer,
  type PoolSize,
  type UpkeepCandidate,
  TargetChooser,
  TurnForecast,
  UpkeepPlanner,
} from '@acaciadock/placement';
import {
  type Duty,
  type FleetFailure,
  type FleetInstance,
  type InstanceFleet,
  type UpkeepWave,
  type WaveReports,
} from './contracts/index.js';
import { type FleetTarget } from './FleetTarget.js';
import { type JobScheduler } from './JobScheduler.js';
import { type LiveRun } from './LiveRun.js';
import { type Ownership } from './Ownership.js';
import { type RunBook } from './RunBook.js';
import { ServingGuard } from './ServingGuard.js';
import { type TargetTable } from './TargetTable.js';

/** Between two looks at pools and waves, in milliseconds. */
const PERIOD_MS = 150;

/** Between two readings of the list of instances while orders are under way or not. */
const BUSY_LIST_MS = 400;
const IDLE_LIST_MS = 2_000;

export const DUTY_KEY = 'duty';

/** After the former owner's orders, beyond the platform's own time, in milliseconds. */
const HANDOVER_MARGIN_MS = 500;

/** An order that the list has not shown by then is forgotten, in milliseconds. */
const ORDER_MEMORY_MS = 10_000;

/** Emptying an instance takes about this long, in milliseconds. */
const EMPTYING_MS = 4_000;

/** An instance is given away after it has been empty this long, in milliseconds. */
const IDLE_BEFORE_MOVE_MS = 400;

/** Between two log lines about the sizes of pools, in milliseconds. */
const SIZES_LOG_MS = 1_000;

/** Orders sent at the same time. */
const MOST_ORDERS = 8;

interface PendingOrder {
  readonly poolId: string;
  readonly isUpkeep: boolean;
  readonly sinceMs: number;
}

/** Who ordered last, and when. */
export interface DutyRecord {
  readonly holderId: string;
  readonly bootMs: number;
  readonly lastOrderUnixMs: number;
}

export interface FleetStewardOptions {
  readonly holderId: string;
  /** Start of this process, Unix milliseconds. */
  readonly bootMs: number;
  /** Whether that process of an entry is certainly over. */
  readonly isProcessOver: (entryId: string, bootMs: number) => boolean;
  /** Two holders keep at least this time between their orders, in milliseconds. */
  readonly dutyHandoverMs: number;
  readonly upkeepMs: number;
}

export interface FleetStewardDeps {
  readonly fleet: InstanceFleet;
  readonly reports: WaveReports;
  readonly waves: () => readonly UpkeepWave[];
  readonly targets: TargetTable;
  readonly book: RunBook;
  readonly scheduler: JobScheduler;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
}

export class FleetSteward extends Disposable {
  private instances: readonly FleetInstance[] = [];

  private listedMs = -Infinity;

  private sizesLoggedMs = -Infinity;

  private readonly orders = new Map<string, PendingOrder>();

  private readonly sizer = new PoolSizer();

  private readonly forecast = new TurnForecast();

  private readonly guard: ServingGuard;

  /** Instances whose upkeep has begun, by wave. */
  private readonly begun = new Map<number, Set<string>>();

  private readonly published = new Map<number, 'running' | 'completed'>();

  private readonly reservedForWave = new Set<string>();

  /** No order before this monotonic time. */
  private notBeforeMs: number;

  constructor(
    private readonly options: FleetStewardOptions,
    private readonly deps: FleetStewardDeps,
  ) {
    super();
    this.guard = new ServingGuard(
      (taskId, targetId) => deps.book.liveRunOf(taskId, targetId),
      deps.clock,
    );
    this.notBeforeMs = deps.clock.monotonicMs();
  }

  /**
   * Takes up who ordered last and when. The record is durable before an order leaves, so nothing
   * was ordered after it; the order itself took a moment. A holder whose process is over can't be
   * heard of any more, so nobody has to wait for it.
   */
  restoreDuty(duty: DutyRecord): void {
    const { clock } = this.deps;
    const { holderId, bootMs, dutyHandoverMs } = this.options;
    const isOver = duty.holderId === holderId && duty.bootMs !== bootMs;
    if (isOver || this.options.isProcessOver(duty.holderId, duty.bootMs)) return;
    const agoMs = Math.max(0, clock.unixMs() - duty.lastOrderUnixMs);
    this.notBeforeMs = clock.monotonicMs() + dutyHandoverMs + HANDOVER_MARGIN_MS - agoMs;
  }

  /** Takes up how far a wave was when an earlier owner journaled it. */
  restoreWave(waveId: number, instanceIds: readonly string[]): void {
    this.begun.set(waveId, new Set(instanceIds));
  }

  async run(): Promise<void> {
    while (this.isActive) {
      await this.round();
      await this.deps.clock.sleep(PERIOD_MS);
    }
  }

  private get isActive(): boolean {
    return !this.isDisposed && this.deps.ownership.isActive;
  }

  private get duty(): Duty {
    return { holderId: this.options.holderId, fencingToken: this.deps.ownership.epoch };
  }

  private async round(): Promise<void> {
    await this.refreshList();
    if (!this.isActive || this.instances.length === 0) return;
    if (this.deps.clock.monotonicMs() < this.notBeforeMs) return;
    if (!this.deps.ownership.mayExtendLeases) return;
    this.deps.waves().forEach((wave) => this.workOnWave(wave));
    this.sizePools();
  }

  private async refreshList(): Promise<void> {
    const { clock, fleet, logger } = this.deps;
    const nowMs = clock.monotonicMs();
    const periodMs = this.orders.size > 0 ? BUSY_LIST_MS : IDLE_LIST_MS;
    if (nowMs - this.listedMs < periodMs) return;
    const listed = await fleet.list();
    if (listed.isErr()) {
      logger.warn('instances-unlisted', { reason: listed.error.detail });
      this.listedMs = nowMs;
      return;
    }
    this.instances = listed.value;
    this.listedMs = nowMs;
    this.settleOrders(nowMs);
  }

  /** An order is settled once a list asked for after it shows its result. */
  private settleOrders(listedMs: number): void {
    const byId = new Map(this.instances.map((one) => [one.instanceId, one]));
    this.orders.forEach((order, instanceId) => {
      if (order.sinceMs > listedMs) return;
      const instance = byId.get(instanceId);
      const isThere = instance?.state === 'up' && instance.poolId === order.poolId;
      const isOld = listedMs - order.sinceMs > ORDER_MEMORY_MS;
      const mayHaveEnded = !order.isUpkeep || listedMs - order.sinceMs > this.options.upkeepMs;
      if (!instance || isOld || (isThere && mayHaveEnded)) this.orders.delete(instanceId);
      if (instance && isOld && !isThere) this.reopen(instance);
    });
  }

  /** An order without an answer was not carried out after all. */
  private reopen({ instanceId, targetId, state }: FleetInstance): void {
    const target = this.targets.get(targetId);
    if (!target || state !== 'up' || this.reservedForWave.has(instanceId)) return;
    this.deps.logger.info('instance-reopened', { instanceId, targetId });
    target.isReserved = false;
  }

  // Waves of upkeep.

  private workOnWave(wave: UpkeepWave): void {
    if (this.published.get(wave.waveId) === 'completed') return;
    const begun = this.begunOf(wave.waveId);
    const left = this.instances.filter(
      ({ instanceId }) => wave.instanceIds.includes(instanceId) && !begun.has(instanceId),
    );
    if (left.length === 0) {
      void this.publish(wave.waveId, 'completed');
      return;
    }
    if (!this.published.has(wave.waveId)) void this.publish(wave.waveId, 'running');
    const plan = UpkeepPlanner.plan({
      candidates: left.map((instance) => this.candidateOf(instance)),
      pools: this.pressures(),
      downCount: this.downCountOf(wave),
      mostAtOnce: wave.mostAtOnce,
      timeLeftMs: wave.dueMs - this.deps.clock.monotonicMs(),
      stepMs: this.options.upkeepMs + EMPTYING_MS,
    });
    plan.reserve.forEach((instanceId) => this.reservedForWave.add(instanceId));
    left.forEach((instance) => this.empty(instance));
    plan.begin.forEach((instanceId) => {
      const instance = left.find((one) => one.instanceId === instanceId);
      if (instance) void this.beginUpkeep(instance, wave);
    });
  }

  private candidateOf(instance: FleetInstance): UpkeepCandidate {
    const target = this.targets.get(instance.targetId);
    const isSpare = this.isSpare(instance.poolId);
    return {
      instanceId: instance.instanceId,
      poolId: instance.poolId,
      isEmpty: isSpare || (target?.isReserved === true && target.runs.size === 0),
      isReserved: this.reservedForWave.has(instance.instanceId),
      isBusy: instance.state !== 'up' || this.orders.has(instance.instanceId),
      runCount: target?.runs.size ?? 0,
      isSpare,
    };
  }

  /** Closes a reserved instance and moves away what lasts, as far as its jobs allow. */
  private empty(instance: FleetInstance): void {
    if (!this.reservedForWave.has(instance.instanceId)) return;
    const target = this.targets.get(instance.targetId);
    if (!target) return;
    target.isReserved = true;
    this.moveServing(target);
  }

  private moveServing(target: FleetTarget): void {
    for (const live of target.runs.values()) {
      const { step, task } = live.place;
      const isServing = step.spec.longRunning && live.phase === 'running';
      const mayMove = isServing && this.guard.mayStop(step, task) && this.hasRoomElsewhere(live);
      if (mayMove) this.deps.book.stop(live);
    }
  }

  /** A task that serves is stopped only when another target of its pool can take it. */
  private hasRoomElsewhere(live: LiveRun): boolean {
    const nowMs = this.deps.clock.monotonicMs();
    const target = this.targets.get(live.targetId);
    const { step } = live.place;
    const wish = { step: step.spec, stepId: step.stepId, avoidTargetId: '', onlyRackId: '' };
    return this.targets
      .ofPool(target?.poolId ?? '')
      .some((other) => other.isOpen(nowMs) && TargetChooser.fits(other, wish));
  }

  private downCountOf(wave: UpkeepWave): number {
    return this.instances.filter(({ instanceId, state }) => {
      if (!wave.instanceIds.includes(instanceId)) return false;
      return state === 'upkeep' || this.orders.get(instanceId)?.isUpkeep === true;
    }).length;
  }

  private async beginUpkeep(instance: FleetInstance, wave: UpkeepWave): Promise<void> {
    const { instanceId, poolId } = instance;
    this.noteOrder(instanceId, poolId, true);
    if (!(await this.noteDuty())) return;
    const done = await this.deps.fleet.upkeep(instanceId, wave.waveId, this.duty);
    this.logOrder('upkeep', instance, poolId, done.isOk() ? 'accepted' : done.error.kind);
    if (done.isOk() || done.error.kind === 'invalid') {
      this.begunOf(wave.waveId).add(instanceId);
      this.reservedForWave.delete(instanceId);
      this.journalWave(wave.waveId);
      return;
    }
    this.onRefused(instanceId, done.error);
  }

  private begunOf(waveId: number): Set<string> {
    const known = this.begun.get(waveId);
    if (known) return known;
    const created = new Set<string>();
    this.begun.set(waveId, created);
    return created;
  }

  private journalWave(waveId: number): void {
    void this.deps.ownership.writer.write(`wave/${waveId}`, () =>
      Buffer.from(JSON.stringify([...this.begunOf(waveId)])),
    );
  }

  private async publish(waveId: number, state: 'running' | 'completed'): Promise<void> {
    const former = this.published.get(waveId);
    this.published.set(waveId, state);
    const done = await this.deps.reports.publish(waveId, state);
    if (done.isOk()) {
      this.deps.logger.info('wave-state', { waveId, state });
      return;
    }
    this.deps.logger.warn('wave-state-unpublished', { waveId, state, reason: done.error.kind });
    if (former) this.published.set(waveId, former);
    else this.published.delete(waveId);
  }

  // Sizes of pools.

  private sizePools(): void {
    const demands = this.demands();
    const nowMs = this.deps.clock.monotonicMs();
    this.forecast.observe(
      demands.map(({ poolId, arrivingCpuMilli }) => ({ poolId, cpuMilli: arrivingCpuMilli })),
      nowMs,
    );
    const sizes = this.sizer.size(demands, this.forecast.next(nowMs), nowMs);
    this.logSizes(demands, sizes, nowMs);
    const countOf = new Map(demands.map(({ poolId, instanceCount }) => [poolId, instanceCount]));
    const lacking = sizes
      .map((size) => ({ size, missing: size.needed - (countOf.get(size.poolId) ?? 0) }))
      .filter(({ missing }) => missing > 0)
      .sort((a, b) => b.missing - a.missing);
    const donors = this.donors(sizes, countOf);
    if (lacking.length > 0) donors.push(...this.lenders(sizes, countOf, donors));
    lacking.forEach(({ size, missing }) => {
      donors.splice(0, missing).forEach((instance) => {
        void this.move(instance, size.poolId);
      });
    });
    if (lacking.length === 0) this.park(donors);
  }

  private logSizes(
    demands: readonly PoolDemand[],
    sizes: readonly PoolSize[],
    nowMs: number,
  ): void {
    if (nowMs - this.sizesLoggedMs < SIZES_LOG_MS) return;
    this.sizesLoggedMs = nowMs;
    this.deps.logger.info('pool-sizes', {
      pools: demands.map((demand, index) => ({
        poolId: demand.poolId,
        instances: demand.instanceCount,
        needed: sizes[index]?.needed,
        kept: sizes[index]?.kept,
        demandCpuMilli: demand.demandCpuMilli,
        arrivingCpuMilli: Math.round(demand.arrivingCpuMilli),
      })),
      turnPoolId: this.forecast.currentPoolId,
      next: this.forecast.next(nowMs),
      listAgeMs: Math.round(nowMs - this.listedMs),
    });
  }

  /** Instances that may be given away: spare ones first, then empty ones of pools with too many. */
  private donors(
    sizes: readonly PoolSize[],
    countOf: ReadonlyMap<string, number>,
  ): FleetInstance[] {
    const spare = this.instances.filter((one) => this.isSpare(one.poolId) && this.isFree(one));
    const surplus = sizes.flatMap(({ poolId, kept }) => {
      const idle = this.instances.filter((one) => one.poolId === poolId && this.isIdle(one));
      return idle.slice(0, Math.max(0, (countOf.get(poolId) ?? 0) - kept));
    });
    return [...spare, ...surplus].slice(0, MOST_ORDERS);
  }

  /** Empty instances that pools keep without needing them now; only for pools that lack some. */
  private lenders(
    sizes: readonly PoolSize[],
    countOf: ReadonlyMap<string, number>,
    donors: readonly FleetInstance[],
  ): FleetInstance[] {
    return sizes.flatMap(({ poolId, needed }) => {
      const given = donors.filter((one) => one.poolId === poolId).length;
      const idle = this.instances.filter((one) => one.poolId === poolId && this.isIdle(one));
      const surplus = (countOf.get(poolId) ?? 0) - given - needed;
      return idle.filter((one) => !donors.includes(one)).slice(0, Math.max(0, surplus));
    });
  }

  private park(donors: readonly FleetInstance[]): void {
    const [sparePoolId] = this.deps.config().sparePoolIds;
    if (sparePoolId === undefined) return;
    donors
      .filter((instance) => !this.isSpare(instance.poolId))
      .forEach((instance) => {
        void this.move(instance, sparePoolId);
      });
  }

  private demands(): PoolDemand[] {
    return this.deps
      .config()
      .config.pools.filter((pool) => !pool.isSpare)
      .map(({ poolId }) => this.demandOf(poolId));
  }

  private demandOf(poolId: string): PoolDemand {
    const present = this.instances.filter(
      (one) => this.poolAfterOrders(one) === poolId && this.isOfUse(one),
    );
    const waiting = this.deps.scheduler.waitingCpuMilli(poolId);
    const running = this.targets
      .ofPool(poolId)
      .reduce((sum, target) => sum + target.usedCpuMilli, 0);
    return {
      poolId,
      demandCpuMilli: waiting + running,
      arrivingCpuMilli: this.deps.scheduler.arrivingCpuMilli(poolId),
      hasHadTurn: this.forecast.hasHadTurn(poolId),
      hasServingWaiting: this.deps.scheduler.hasServingWaiting(poolId),
      instanceCount: present.length,
      cpuMilliPerInstance:
        present[0]?.capacity.cpuMilli ?? this.instances[0]?.capacity.cpuMilli ?? 1,
    };
  }

  /** Whether the instance takes work, or is on its way to; not while it is emptied or silent. */
  private isOfUse({ instanceId, targetId }: FleetInstance): boolean {
    if (this.reservedForWave.has(instanceId)) return false;
    if (this.orders.has(instanceId)) return true;
    const target = this.targets.get(targetId);
    return target === undefined || (!target.isReserved && target.failedHolds === 0);
  }

  private poolAfterOrders({ instanceId, poolId }: FleetInstance): string {
    return this.orders.get(instanceId)?.poolId ?? poolId;
  }

  private isFree({ instanceId, state }: FleetInstance): boolean {
    return state === 'up' && !this.orders.has(instanceId) && !this.reservedForWave.has(instanceId);
  }

  private isIdle(instance: FleetInstance): boolean {
    const target = this.targets.get(instance.targetId);
    if (!target || !this.isFree(instance)) return false;
    const nowMs = this.deps.clock.monotonicMs();
    if (!target.isOpen(nowMs) || target.runs.size > 0) return false;
    return nowMs - target.idleSinceMs > IDLE_BEFORE_MOVE_MS;
  }

  private async move(instance: FleetInstance, poolId: string): Promise<void> {
    const { instanceId, targetId } = instance;
    const target = this.targets.get(targetId);
    if (target) target.isReserved = true;
    this.noteOrder(instanceId, poolId, false);
    if (!(await this.noteDuty())) return;
    const done = await this.deps.fleet.move(instanceId, poolId, this.duty);
    this.logOrder('move', instance, poolId, done.isOk() ? 'accepted' : done.error.kind);
    if (done.isOk()) return;
    this.onRefused(instanceId, done.error);
    if (target && done.error.kind !== 'unknown-outcome') target.isReserved = false;
  }

  // Orders.

  /** Journals that orders leave now; false if they must not. */
  private async noteDuty(): Promise<boolean> {
    const { holderId, bootMs } = this.options;
    const outcome = await this.deps.ownership.writer.write(DUTY_KEY, () =>
      Buffer.from(JSON.stringify({ holderId, bootMs, lastOrderUnixMs: this.deps.clock.unixMs() })),
    );
    return outcome === 'durable' && this.isActive;
  }

  private get targets(): TargetTable {
    return this.deps.targets;
  }

  private isSpare(poolId: string): boolean {
    return this.deps.config().pool(poolId)?.isSpare ?? false;
  }

  private pressures(): Map<string, PoolPressure> {
    const nowMs = this.deps.clock.monotonicMs();
    return new Map(
      this.deps.config().config.pools.map(({ poolId }) => [
        poolId,
        {
          openCount: this.targets.ofPool(poolId).filter((target) => target.isOpen(nowMs)).length,
          hasWaitingWork:
            this.deps.scheduler.waitingCpuMilli(poolId) > 0 || this.isInTurn(poolId, nowMs),
        },
      ]),
    );
  }

  /** Whether the pool is, or will soon be, the one that asks for much. */
  private isInTurn(poolId: string, nowMs: number): boolean {
    return this.forecast.currentPoolId === poolId || this.forecast.next(nowMs)?.poolId === poolId;
  }

  private noteOrder(instanceId: string, poolId: string, isUpkeep: boolean): void {
    this.orders.set(instanceId, { poolId, isUpkeep, sinceMs: this.deps.clock.monotonicMs() });
  }

  private onRefused(instanceId: string, failure: FleetFailure): void {
    if (failure.kind === 'fenced') this.deps.ownership.end('fenced');
    // An order without an answer may have been carried out: the list will tell.
    if (failure.kind !== 'unknown-outcome') this.orders.delete(instanceId);
  }

  private logOrder(order: string, instance: FleetInstance, poolId: string, outcome: string): void {
    this.deps.logger.info('fleet-order', {
      order,
      instanceId: instance.instanceId,
      fromPoolId: instance.poolId,
      poolId,
      fencingToken: this.deps.ownership.epoch,
      listAgeMs: Math.round(this.deps.clock.monotonicMs() - this.listedMs),
      outcome,
    });
  }
}
