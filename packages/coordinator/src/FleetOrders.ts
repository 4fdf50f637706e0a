/**
 * The fleet's instances as last listed and the orders that are on their way to them. An order is
 * journaled before it leaves; only the owner of the journal orders, with its epoch as fencing
 * token. An instance that a former owner ordered lately is left alone for a while, because two
 * holders must not take turns on it; the others can be ordered at once.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import { type FleetFailure, type FleetInstance, type InstanceFleet } from './contracts/index.js';
import { type Ownership } from './Ownership.js';
import { type TargetTable } from './TargetTable.js';

export const DUTY_KEY = 'duty';

/** Between two readings of the list of instances while orders are under way or not. */
const BUSY_LIST_MS = 400;
const IDLE_LIST_MS = 2_000;

/** After the former owner's orders, beyond the platform's own time, in milliseconds. */
const HANDOVER_MARGIN_MS = 500;

/** Between two records of how old the recent orders are, in milliseconds. */
const DUTY_REFRESH_MS = 500;

/** An order that the list has not shown by then is forgotten, in milliseconds. */
const ORDER_MEMORY_MS = 10_000;

interface PendingOrder {
  readonly poolId: string;
  readonly isUpkeep: boolean;
  readonly sinceMs: number;
}

/** An order to an instance, and how long ago it left when the record was written. */
export interface RecentOrder {
  readonly instanceId: string;
  readonly agoMs: number;
}

/** Who orders, and which instances were ordered lately, by this holder or one before. */
export interface DutyRecord {
  readonly holderId: string;
  readonly bootMs: number;
  readonly orders: readonly RecentOrder[];
}

export interface FleetOrdersOptions {
  readonly holderId: string;
  /** Start of this process, Unix milliseconds. */
  readonly bootMs: number;
  /** Whether that process of an entry is certainly over. */
  readonly isProcessOver: (entryId: string, bootMs: number) => boolean;
  /** Two holders keep at least this time between their orders to an instance, in milliseconds. */
  readonly dutyHandoverMs: number;
  readonly upkeepMs: number;
}

export interface FleetOrdersDeps {
  readonly fleet: InstanceFleet;
  readonly targets: TargetTable;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
}

export type OrderOutcome = 'accepted' | 'not-sent' | FleetFailure['kind'];

export class FleetOrders extends Disposable {
  private listed: readonly FleetInstance[] = [];

  private listedMs = -Infinity;

  private readonly pending = new Map<string, PendingOrder>();

  private dutyWrittenMs = -Infinity;

  /** Monotonic time of the last order to an instance, own or inherited. */
  private readonly orderedMs = new Map<string, number>();

  /** Instances that a former holder ordered lately. */
  private readonly inherited = new Set<string>();

  constructor(
    private readonly options: FleetOrdersOptions,
    private readonly deps: FleetOrdersDeps,
  ) {
    super();
  }

  get instances(): readonly FleetInstance[] {
    return this.listed;
  }

  get listAgeMs(): number {
    return this.deps.clock.monotonicMs() - this.listedMs;
  }

  get isActive(): boolean {
    return !this.isDisposed && this.deps.ownership.isActive;
  }

  /** Whether orders may leave now. */
  get mayOrder(): boolean {
    return this.isActive && this.listed.length > 0 && this.deps.ownership.mayExtendLeases;
  }

  /**
   * Takes up which instances a former holder ordered lately. The record is durable before an order
   * leaves, so it names them all. Ages are the former holder's own, as of the record: wall clocks
   * differ. A holder whose process is over can't be heard of any more, so nobody waits for it.
   */
  restoreDuty({ holderId, bootMs, orders }: DutyRecord): void {
    const isOwnFormerLife = holderId === this.options.holderId && bootMs !== this.options.bootMs;
    if (isOwnFormerLife || this.options.isProcessOver(holderId, bootMs)) return;
    const nowMs = this.deps.clock.monotonicMs();
    orders.forEach(({ instanceId, agoMs }) => {
      this.orderedMs.set(instanceId, nowMs - agoMs);
      this.inherited.add(instanceId);
    });
  }

  get hasOrders(): boolean {
    return this.pending.size > 0;
  }

  hasOrder(instanceId: string): boolean {
    return this.pending.has(instanceId);
  }

  /** Whether the instance takes no order now: one is on its way, or a former holder's is recent. */
  isTaken(instanceId: string): boolean {
    if (this.pending.has(instanceId)) return true;
    return this.inherited.has(instanceId) && this.isRecent(instanceId);
  }

  /** Whether the instance may be down for upkeep without the list showing it yet. */
  mayBeInUpkeep(instanceId: string): boolean {
    if (this.pending.get(instanceId)?.isUpkeep === true) return true;
    // What a former holder ordered just before it ended may be an upkeep.
    return this.inherited.has(instanceId) && this.isRecent(instanceId);
  }

  /** The pool that the instance is in, or will be once its order has been carried out. */
  poolAfterOrders({ instanceId, poolId }: FleetInstance): string {
    return this.pending.get(instanceId)?.poolId ?? poolId;
  }

  /** Journals how old the recent orders are by now, so that a successor waits no longer than need be. */
  refreshDuty(): void {
    const nowMs = this.deps.clock.monotonicMs();
    const hasRecent = [...this.orderedMs.keys()].some((instanceId) => this.isRecent(instanceId));
    if (!hasRecent || nowMs - this.dutyWrittenMs < DUTY_REFRESH_MS) return;
    void this.journalDuty();
  }

  /** Reads the list again if it is due. */
  async refresh(): Promise<void> {
    const { clock, fleet, logger } = this.deps;
    const nowMs = clock.monotonicMs();
    const periodMs = this.pending.size > 0 ? BUSY_LIST_MS : IDLE_LIST_MS;
    if (nowMs - this.listedMs < periodMs) return;
    const listed = await fleet.list();
    this.listedMs = nowMs;
    if (listed.isErr()) {
      logger.warn('instances-unlisted', { reason: listed.error.detail });
      return;
    }
    this.listed = listed.value;
    this.settle(nowMs);
  }

  /**
   * Puts the instance into another pool. Nothing may be running there. An instance takes one order
   * at a time: `busy` if another is on its way.
   */
  async move(instance: FleetInstance, poolId: string): Promise<OrderOutcome> {
    const { instanceId, targetId } = instance;
    if (this.isTaken(instanceId)) return 'busy';
    const target = this.deps.targets.get(targetId);
    if (target) target.isReserved = true;
    this.note(instanceId, poolId, false);
    if (!(await this.journalDuty())) return 'not-sent';
    const done = await this.deps.fleet.move(instanceId, poolId, this.duty);
    const outcome = this.conclude('move', instance, poolId, done.isErr() ? done.error : undefined);
    const isRefused = outcome !== 'accepted' && outcome !== 'unknown-outcome';
    if (target && isRefused) target.isReserved = false;
    return outcome;
  }

  /** Takes the instance down for its upkeep; otherwise as a move. */
  async upkeep(instance: FleetInstance, waveId: number): Promise<OrderOutcome> {
    const { instanceId, poolId } = instance;
    if (this.isTaken(instanceId)) return 'busy';
    this.note(instanceId, poolId, true);
    if (!(await this.journalDuty())) return 'not-sent';
    const done = await this.deps.fleet.upkeep(instanceId, waveId, this.duty);
    return this.conclude('upkeep', instance, poolId, done.isErr() ? done.error : undefined);
  }

  private get duty(): { holderId: string; fencingToken: number } {
    return { holderId: this.options.holderId, fencingToken: this.deps.ownership.epoch };
  }

  /** An order is settled once a list asked for after it shows its result. */
  private settle(listedMs: number): void {
    const byId = new Map(this.listed.map((one) => [one.instanceId, one]));
    this.pending.forEach((order, instanceId) => {
      if (order.sinceMs > listedMs) return;
      const instance = byId.get(instanceId);
      const isThere = instance?.state === 'up' && instance.poolId === order.poolId;
      const isOld = listedMs - order.sinceMs > ORDER_MEMORY_MS;
      const mayHaveEnded = !order.isUpkeep || listedMs - order.sinceMs > this.options.upkeepMs;
      if (!instance || isOld || (isThere && mayHaveEnded)) this.pending.delete(instanceId);
      if (instance && isOld && !isThere) this.reopen(instance);
    });
  }

  /** An order without an answer was not carried out after all. */
  private reopen({ instanceId, targetId, state }: FleetInstance): void {
    const target = this.deps.targets.get(targetId);
    if (!target || state !== 'up') return;
    this.deps.logger.info('instance-reopened', { instanceId, targetId });
    target.isReserved = false;
  }

  /** Journals that orders leave now; false if they must not. */
  private async journalDuty(): Promise<boolean> {
    this.dutyWrittenMs = this.deps.clock.monotonicMs();
    const outcome = await this.deps.ownership.writer.write(DUTY_KEY, () =>
      Buffer.from(JSON.stringify(this.dutyRecord())),
    );
    return outcome === 'durable' && this.isActive;
  }

  private dutyRecord(): DutyRecord {
    const { holderId, bootMs } = this.options;
    const nowMs = this.deps.clock.monotonicMs();
    const orders = [...this.orderedMs]
      .filter(([instanceId]) => this.isRecent(instanceId))
      .map(([instanceId, orderedMs]) => ({ instanceId, agoMs: Math.floor(nowMs - orderedMs) }));
    return { holderId, bootMs, orders };
  }

  private isRecent(instanceId: string): boolean {
    const agoMs = this.deps.clock.monotonicMs() - (this.orderedMs.get(instanceId) ?? -Infinity);
    return agoMs < this.options.dutyHandoverMs + HANDOVER_MARGIN_MS;
  }

  private note(instanceId: string, poolId: string, isUpkeep: boolean): void {
    const nowMs = this.deps.clock.monotonicMs();
    this.pending.set(instanceId, { poolId, isUpkeep, sinceMs: nowMs });
    this.orderedMs.set(instanceId, nowMs);
    this.inherited.delete(instanceId);
  }

  private conclude(
    order: string,
    instance: FleetInstance,
    poolId: string,
    failure: FleetFailure | undefined,
  ): OrderOutcome {
    const outcome = failure?.kind ?? 'accepted';
    this.deps.logger.info('fleet-order', {
      order,
      instanceId: instance.instanceId,
      fromPoolId: instance.poolId,
      poolId,
      fencingToken: this.deps.ownership.epoch,
      listAgeMs: Math.round(this.listAgeMs),
      outcome,
    });
    if (outcome === 'fenced') this.deps.ownership.end('fenced');
    // An order without an answer may have been carried out: the list will tell.
    if (failure && outcome !== 'unknown-outcome') this.pending.delete(instance.instanceId);
    return outcome;
  }
}
