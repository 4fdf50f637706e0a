/**
 * Checks the availability budget of the services: every pool must keep enough serving instances
 * and enough slots for the smoothed demand, both now and after the loss of one more rack.
 */
import { type InstanceId, type PoolId, type ServiceId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { PoolCapacity, type RemainingCapacity } from './PoolCapacity.js';

/** The rack that is being maintained and one more that may fail meanwhile. */
const RESERVED_RACKS = 2;

/** Smoothed number of slots in use, by service. */
export type Demand = ReadonlyMap<ServiceId, number>;

/** What the services of a pool need it to keep. */
export interface PoolNeed {
  readonly instances: number;
  readonly slots: number;
}

/** Instances and slots that a pool lacks to meet its need. */
export interface Shortfall {
  readonly kind: 'budget-shortfall';
  readonly poolId: PoolId;
  readonly missingInstances: number;
  readonly missingSlots: number;
}

export class AvailabilityBudget {
  private readonly capacities = new Map<PoolId, PoolCapacity>();

  private readonly needs = new Map<PoolId, PoolNeed>();

  private readonly excluded = new Set<InstanceId>();

  constructor(
    private readonly document: ConfigDocument,
    excluded: ReadonlySet<InstanceId>,
    demand: Demand,
  ) {
    Object.entries(document.instances).forEach(([instanceId, { poolId, rackId, slots }]) => {
      if (excluded.has(instanceId)) this.excluded.add(instanceId);
      else this.capacityOf(poolId).add(rackId, slots);
    });
    Object.entries(document.services).forEach(([serviceId, service]) => {
      const known = this.needOf(service.poolId);
      this.needs.set(service.poolId, {
        instances: Math.max(known.instances, service.minServingInstances),
        slots: known.slots + (demand.get(serviceId) ?? 0),
      });
    });
    this.capDemand();
  }

  /** Serving instances and slots that a pool must keep; zero if no service uses it. */
  needOf(poolId: PoolId): PoolNeed {
    return this.needs.get(poolId) ?? { instances: 0, slots: 0 };
  }

  /** Counts an instance as not serving. */
  exclude(instanceId: InstanceId): void {
    const instance = this.document.instances[instanceId];
    if (!instance || this.excluded.has(instanceId)) return;
    this.excluded.add(instanceId);
    this.capacityOf(instance.poolId).remove(instance.rackId, instance.slots);
  }

  /** Counts an excluded instance as serving again. */
  include(instanceId: InstanceId): void {
    const instance = this.document.instances[instanceId];
    if (!instance || !this.excluded.delete(instanceId)) return;
    this.capacityOf(instance.poolId).add(instance.rackId, instance.slots);
  }

  /** What the pool lacks now; undefined if it meets its need. */
  shortfallNow(poolId: PoolId): Shortfall | undefined {
    return this.shortfallOf(poolId, this.capacityOf(poolId).now());
  }

  /** What the pool would lack after losing one more rack; undefined if it would meet its need. */
  shortfallAfterRackLoss(poolId: PoolId): Shortfall | undefined {
    return this.shortfallOf(poolId, this.capacityOf(poolId).afterRackLoss());
  }

  /**
   * Caps the slots needed for demand at what the pool has without its two largest racks. Work
   * beyond that is background work or a burst, which can wait in the queue, and without the cap a
   * pool that is always full could never be maintained. The declared minimum number of serving
   * instances is not capped.
   */
  private capDemand(): void {
    // Counts every instance of a pool, whether or not it serves.
    const whole = new Map<PoolId, PoolCapacity>();
    Object.values(this.document.instances).forEach(({ poolId, rackId, slots }) => {
      const capacity = whole.get(poolId) ?? new PoolCapacity();
      capacity.add(rackId, slots);
      whole.set(poolId, capacity);
    });
    this.needs.forEach((need, poolId) => {
      const maxSlots = whole.get(poolId)?.slotsWithoutLargestRacks(RESERVED_RACKS) ?? 0;
      this.needs.set(poolId, { ...need, slots: Math.min(need.slots, maxSlots) });
    });
  }

  private shortfallOf(poolId: PoolId, remaining: RemainingCapacity): Shortfall | undefined {
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
