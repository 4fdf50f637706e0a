/**
 * Keeps the last listing of the fleet's instances and sends move and upkeep orders to them. Each
 * order is journaled before it is sent. The right to send orders to instances is called the duty.
 * The owner of the journal holds it and sends its epoch as fencing token. Two holders must keep a
 * minimum time between their orders to one instance, so an instance that a previous holder sent an
 * order to recently gets none until that time has passed; all others can be ordered at once.
 */
import { type Clock, Disposable, EventEmitter, type Logger } from '@acaciadock/core';
import { MAX_VALUE_BYTES } from '@acaciadock/journal';
import { OrderBudget } from '@acaciadock/placement';
import * as z from 'zod';
import { type FleetFailure, type FleetInstance, type InstanceFleet } from './contracts/index.js';
import { type Ownership } from './Ownership.js';
import { type TargetTable } from './TargetTable.js';

/** Journal key of the `DutyRecord`. */
export const DUTY_KEY = 'duty';

/**
 * Refresh intervals of the instance list, in milliseconds: while orders are pending or runs are on
 * silent targets, and otherwise.
 */
const URGENT_LIST_MS = 400;
const IDLE_LIST_MS = 2_000;

/** Safety margin on top of `orderSeparationMs`, in milliseconds. */
const ORDER_SEPARATION_MARGIN_MS = 500;

/** Interval at which the ages of recent orders are journaled again, in milliseconds. */
const DUTY_REFRESH_MS = 500;

/** An order is not sent if so many records of it in a row became durable too late. */
const MAX_DUTY_WRITES = 3;

/** A pending order that the list has not confirmed after this time is dropped, in milliseconds. */
const PENDING_ORDER_TTL_MS = 10_000;

interface PendingOrder {
  readonly poolId: string;
  readonly isUpkeep: boolean;
  readonly sinceMs: number;
}

/**
 * Journaled holder of the right to send orders to instances, and the recent orders to instances by
 * it or by a previous holder. Each order has its age at the time when the record was written.
 */
const dutyRecordSchema = z.object({
  holderId: z.string(),
  bootMs: z.number(),
  orders: z.array(z.object({ instanceId: z.string(), agoMs: z.number() })),
});

export type DutyRecord = Readonly<z.infer<typeof dutyRecordSchema>>;

export interface FleetOrdersOptions {
  readonly holderId: string;
  /** Start time of this process, Unix milliseconds. */
  readonly bootMs: number;
  /** Whether the given process of an entry has certainly exited. */
  readonly hasProcessExited: (entryId: string, bootMs: number) => boolean;
  /** Minimum time between the orders of two different holders to an instance, in milliseconds. */
  readonly orderSeparationMs: number;
  readonly upkeepMs: number;
  /** Orders that the platform accepts in a second, from all entries together. */
  readonly ordersPerS: number;
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
  private readonly listedEmitter = this.register(new EventEmitter<readonly FleetInstance[]>());

  /** Fires when the instances have been listed. */
  readonly onListed = this.listedEmitter.event;

  private listed: readonly FleetInstance[] = [];

  private listedMs = -Infinity;

  private readonly pending = new Map<string, PendingOrder>();

  private dutyWrittenMs = -Infinity;

  /** Monotonic time of the last order to each instance, own or inherited. */
  private readonly lastOrderedMs = new Map<string, number>();

  private readonly budget: OrderBudget;

  /** Monotonic time of the last order of a previous holder to an unknown instance. */
  private unknownOrdersMs = -Infinity;

  /** Instances whose last order came from a previous holder. */
  private readonly inherited = new Set<string>();

  constructor(
    private readonly options: FleetOrdersOptions,
    private readonly deps: FleetOrdersDeps,
  ) {
    super();
    this.budget = new OrderBudget(options.ordersPerS, deps.clock.monotonicMs());
  }

  /** Number of moves that may be ordered now. */
  get allowance(): number {
    return this.budget.available(this.deps.clock.monotonicMs());
  }

  get instances(): readonly FleetInstance[] {
    return this.listed;
  }

  /** Monotonic time at which the last list was requested. */
  get listRequestedMs(): number {
    return this.listedMs;
  }

  get listAgeMs(): number {
    return this.deps.clock.monotonicMs() - this.listedMs;
  }

  get isActive(): boolean {
    return !this.isDisposed && this.deps.ownership.isActive;
  }

  /** Whether orders may be sent now. */
  get mayOrder(): boolean {
    return this.isActive && this.listed.length > 0 && this.deps.ownership.mayExtendLeases;
  }

  /** Restores the journaled record. If it is malformed, any instance may have been ordered. */
  restore(value: Buffer): void {
    const duty = FleetOrders.parseDuty(value);
    if (duty) {
      this.restoreDuty(duty);
      return;
    }
    this.deps.logger.error('duty-unreadable', { bytes: value.length });
    this.unknownOrdersMs = this.deps.clock.monotonicMs();
  }

  /**
   * Restores the recent orders of a previous holder. The record is durable before an order is sent,
   * so it lists all of them. It holds ages as measured by the previous holder rather than times,
   * because wall clocks differ. Orders of a holder whose process has exited are ignored, as it can
   * send no more.
   */
  restoreDuty({ holderId, bootMs, orders }: DutyRecord): void {
    const isOwnPreviousProcess =
      holderId === this.options.holderId && bootMs !== this.options.bootMs;
    if (isOwnPreviousProcess || this.options.hasProcessExited(holderId, bootMs)) return;
    const nowMs = this.deps.clock.monotonicMs();
    orders.forEach(({ instanceId, agoMs }) => {
      this.lastOrderedMs.set(instanceId, nowMs - agoMs);
      this.inherited.add(instanceId);
    });
  }

  get hasOrders(): boolean {
    return this.pending.size > 0;
  }

  hasOrder(instanceId: string): boolean {
    return this.pending.has(instanceId);
  }

  /**
   * Whether the instance takes no order now, because one is pending or because a previous holder
   * sent one recently.
   */
  isBlocked(instanceId: string): boolean {
    if (this.pending.has(instanceId)) return true;
    return this.wasOrderedByPreviousHolder(instanceId);
  }

  /** Whether the instance may be down for upkeep although the list does not show it yet. */
  mayBeInUpkeep(instanceId: string): boolean {
    if (this.pending.get(instanceId)?.isUpkeep === true) return true;
    // A recent order of a previous holder may have been an upkeep order.
    return this.wasOrderedByPreviousHolder(instanceId);
  }

  /** The pool of the instance once its pending order, if any, has been carried out. */
  poolAfterOrders({ instanceId, poolId }: FleetInstance): string {
    return this.pending.get(instanceId)?.poolId ?? poolId;
  }

  /** Journals the current ages of recent orders, which shortens the wait of a successor. */
  refreshDuty(): void {
    const nowMs = this.deps.clock.monotonicMs();
    const hasRecent = [...this.lastOrderedMs.keys()].some((instanceId) =>
      this.isRecent(instanceId),
    );
    if (!hasRecent || nowMs - this.dutyWrittenMs < DUTY_REFRESH_MS) return;
    void this.journalDuty();
  }

  /** Refreshes the instance list if it is due. */
  async refresh(): Promise<void> {
    const { clock, fleet, logger } = this.deps;
    const nowMs = clock.monotonicMs();
    const isUrgent = this.pending.size > 0 || this.hasSilentRuns;
    const periodMs = isUrgent ? URGENT_LIST_MS : IDLE_LIST_MS;
    if (nowMs - this.listedMs < periodMs) return;
    const listed = await fleet.list();
    this.listedMs = nowMs;
    if (listed.isErr()) {
      logger.warn('instances-unlisted', { reason: listed.error.detail });
      return;
    }
    this.listed = listed.value;
    this.settlePending(nowMs);
    this.listedEmitter.fire(this.listed);
  }

  /**
   * Moves the instance to another pool. The caller makes sure that nothing runs on it. An instance
   * takes one order at a time: the outcome is `busy` while another order blocks it.
   */
  async move(instance: FleetInstance, poolId: string): Promise<OrderOutcome> {
    const { instanceId, targetId } = instance;
    if (this.isBlocked(instanceId)) return 'busy';
    const target = this.deps.targets.get(targetId);
    if (target) target.isReserved = true;
    this.note(instanceId, poolId, false);
    if (!(await this.proveDuty())) {
      this.pending.delete(instanceId);
      if (target) target.isReserved = false;
      return 'not-sent';
    }
    const done = await this.deps.fleet.move(instanceId, poolId, this.duty);
    const outcome = this.recordOutcome(
      'move',
      instance,
      poolId,
      done.isErr() ? done.error : undefined,
    );
    const isRefused = outcome !== 'accepted' && outcome !== 'unknown-outcome';
    if (target && isRefused) target.isReserved = false;
    return outcome;
  }

  /** Takes the instance down for upkeep, under the same rules as `move`. */
  async upkeep(instance: FleetInstance, waveId: number): Promise<OrderOutcome> {
    const { instanceId, poolId } = instance;
    if (this.isBlocked(instanceId)) return 'busy';
    this.note(instanceId, poolId, true);
    if (!(await this.proveDuty())) {
      this.pending.delete(instanceId);
      return 'not-sent';
    }
    const done = await this.deps.fleet.upkeep(instanceId, waveId, this.duty);
    return this.recordOutcome('upkeep', instance, poolId, done.isErr() ? done.error : undefined);
  }

  /** Whether runs are on a target that does not answer; the list may show that it has ended. */
  private get hasSilentRuns(): boolean {
    for (const { consecutiveFailures, runs } of this.deps.targets.all) {
      if (consecutiveFailures > 0 && runs.size > 0) return true;
    }
    return false;
  }

  private get duty(): { holderId: string; fencingToken: number } {
    return { holderId: this.options.holderId, fencingToken: this.deps.ownership.epoch };
  }

  /** Drops pending orders whose result shows in a list that was requested after the order. */
  private settlePending(listedMs: number): void {
    const byId = new Map(this.listed.map((one) => [one.instanceId, one]));
    this.pending.forEach((order, instanceId) => {
      if (order.sinceMs > listedMs) return;
      const instance = byId.get(instanceId);
      const isApplied = instance?.state === 'up' && instance.poolId === order.poolId;
      const isExpired = listedMs - order.sinceMs > PENDING_ORDER_TTL_MS;
      const mayHaveEnded = !order.isUpkeep || listedMs - order.sinceMs > this.options.upkeepMs;
      if (!instance || isExpired || (isApplied && mayHaveEnded)) this.pending.delete(instanceId);
      if (instance && isExpired && !isApplied) this.reopen(instance);
    });
  }

  /** Accepts work again on an instance whose order had an unknown outcome and was not executed. */
  private reopen({ instanceId, targetId, state }: FleetInstance): void {
    const target = this.deps.targets.get(targetId);
    if (!target || state !== 'up') return;
    this.deps.logger.info('instance-reopened', { instanceId, targetId });
    target.isReserved = false;
  }

  /**
   * Journals the recent orders until that proves the ownership as of a moment ago; a process that stood
   * still gets the answer to its append much later. Returns false if no order may be sent.
   */
  private async proveDuty(): Promise<boolean> {
    for (let write = 0; write < MAX_DUTY_WRITES; write += 1) {
      if (!(await this.journalDuty())) return false;
      if (this.deps.ownership.mayOrderInstances) return true;
    }
    return false;
  }

  /** Journals the recent orders. Returns false if the ownership has ended. */
  private async journalDuty(): Promise<boolean> {
    this.dutyWrittenMs = this.deps.clock.monotonicMs();
    const outcome = await this.deps.ownership.writer.write(DUTY_KEY, () =>
      FleetOrders.encodeDuty(this.dutyRecord()),
    );
    return outcome === 'durable' && this.isActive;
  }

  private dutyRecord(): DutyRecord {
    const { holderId, bootMs } = this.options;
    const nowMs = this.deps.clock.monotonicMs();
    const orders = [...this.lastOrderedMs]
      .filter(([instanceId]) => this.isRecent(instanceId))
      .map(([instanceId, lastOrderedMs]) => ({
        instanceId,
        agoMs: Math.floor(nowMs - lastOrderedMs),
      }));
    return { holderId, bootMs, orders };
  }

  /** Whether a previous holder may have sent an order to the instance recently. */
  private wasOrderedByPreviousHolder(instanceId: string): boolean {
    if (this.isWithinSeparation(this.unknownOrdersMs)) return true;
    return this.inherited.has(instanceId) && this.isRecent(instanceId);
  }

  private isRecent(instanceId: string): boolean {
    return this.isWithinSeparation(this.lastOrderedMs.get(instanceId) ?? -Infinity);
  }

  private isWithinSeparation(orderedMs: number): boolean {
    const agoMs = this.deps.clock.monotonicMs() - orderedMs;
    return agoMs < this.options.orderSeparationMs + ORDER_SEPARATION_MARGIN_MS;
  }

  /** More orders than fit are left out whole: a successor then takes any instance for ordered recently. */
  private static encodeDuty(duty: DutyRecord): Buffer {
    const encoded = Buffer.from(JSON.stringify(duty));
    if (encoded.length <= MAX_VALUE_BYTES) return encoded;
    return Buffer.from(JSON.stringify({ ...duty, orders: 'too many' }));
  }

  private static parseDuty(value: Buffer): DutyRecord | undefined {
    try {
      return dutyRecordSchema.parse(JSON.parse(value.toString('utf8')));
    } catch {
      return undefined;
    }
  }

  private note(instanceId: string, poolId: string, isUpkeep: boolean): void {
    const nowMs = this.deps.clock.monotonicMs();
    this.budget.spend();
    this.pending.set(instanceId, { poolId, isUpkeep, sinceMs: nowMs });
    this.lastOrderedMs.set(instanceId, nowMs);
    this.inherited.delete(instanceId);
  }

  private recordOutcome(
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
    // An order with an unknown outcome may have been executed, so it stays pending until the list
    // shows its result.
    if (failure && outcome !== 'unknown-outcome') this.pending.delete(instance.instanceId);
    return outcome;
  }
}
