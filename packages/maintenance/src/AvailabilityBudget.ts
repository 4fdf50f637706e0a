/**
 * Whether the services keep their availability budget: enough serving instances in the pool and
 * enough slots for the smoothed demand, now and with one more rack lost.
 */
import { type InstanceId, type PoolId, type ServiceId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { PoolCapacity, type RemainingCapacity } from './PoolCapacity.js';

/** The step's rack and the one more that may be lost. */
const RACKS_LEFT_OUT = 2;

/** Slots in use by service, smoothed. */
export type Demand = ReadonlyMap<ServiceId, number>;

export interface PoolNeed {
  readonly instances: number;
  readonly slots: number;
}

/** What a pool lacks. */
export interface Shortfall {
  readonly kind: 'budget-shortfall';
  readonly poolId: PoolId;
  readonly missingInstances: number;
  readonly missingSlots: number;
}

export class AvailabilityBudget {
  private readonly capacities = new Map<PoolId, PoolCapacity>();

  private readonly needs = new Map<PoolId, PoolNeed>();

  private readonly out = new Set<InstanceId>();

  constructor(
    private readonly document: ConfigDocument,
    out: ReadonlySet<InstanceId>,
    demand: Demand,
  ) {
    Object.entries(document.instances).forEach(([instanceId, { poolId, rackId, slots }]) => {
      if (out.has(instanceId)) this.out.add(instanceId);
      else this.capacityOf(poolId).add(rackId, slots);
    });
    Object.entries(document.services).forEach(([serviceId, service]) => {
      const known = this.needOf(service.poolId);
      this.needs.set(service.poolId, {
        instances: Math.max(known.instances, service.minServingInstances),
        slots: known.slots + (demand.get(serviceId) ?? 0),
      });
    });
    this.boundDemand();
  }

  /** What a pool needs to serve; zero if no service uses it. */
  needOf(poolId: PoolId): PoolNeed {
    return this.needs.get(poolId) ?? { instances: 0, slots: 0 };
  }

  /** Takes an instance out of the sums. */
  takeOut(instanceId: InstanceId): void {
    const instance = this.document.instances[instanceId];
    if (!instance || this.out.has(instanceId)) return;
    this.out.add(instanceId);
    this.capacityOf(instance.poolId).remove(instance.rackId, instance.slots);
  }

  /** Puts an instance back into the sums. */
  putBack(instanceId: InstanceId): void {
    const instance = this.document.instances[instanceId];
    if (!instance || !this.out.delete(instanceId)) return;
    this.capacityOf(instance.poolId).add(instance.rackId, instance.slots);
  }

  /** Why the pool does not meet its need now; undefined if it does. */
  shortfallNow(poolId: PoolId): Shortfall | undefined {
    return this.compare(poolId, this.capacityOf(poolId).now());
  }

  /** Why the pool would not meet its need with one more rack lost; undefined if it would. */
  shortfallAfterRackLoss(poolId: PoolId): Shortfall | undefined {
    return this.compare(poolId, this.capacityOf(poolId).afterRackLoss());
  }

  /**
   * Demand alone never asks for more than the pool has with its two largest racks out: work
   * beyond that is background or a burst, which waits in the queue, and a pool that is always
   * full could never be maintained. The declared least number of instances is not bounded so.
   */
  private boundDemand(): void {
    const whole = new Map<PoolId, PoolCapacity>();
    Object.values(this.document.instances).forEach(({ poolId, rackId, slots }) => {
      const capacity = whole.get(poolId) ?? new PoolCapacity();
      capacity.add(rackId, slots);
      whole.set(poolId, capacity);
    });
    this.needs.forEach((need, poolId) => {
      const mostSlots = whole.get(poolId)?.slotsWithoutLargestRacks(RACKS_LEFT_OUT) ?? 0;
      this.needs.set(poolId, { ...need, slots: Math.min(need.slots, mostSlots) });
    });
  }

  private compare(poolId: PoolId, remaining: RemainingCapacity): Shortfall | undefined {
    const need = this.needOf(poolId);
    const missingInstances = Math.max(0, need.instances - remaining.instances);
    const missingSlots = Math.max(0, need.slots - remaining.slots);
    if (missingInstances === 0 && missingSlots === 0) return undefined;
    return { kind: 'budget-shortfall', poolId, missingInstances, missingSlots };
  }

  private capacityOf(poolId: PoolId): PoolCapacity {
    const known = this.capacities.get(poolId);
    if (known) return known;
    const created = new PoolCapacity();
    this.capacities.set(poolId, created);
    return created;
  }
}
