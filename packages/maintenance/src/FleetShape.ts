/** Summary of the fleet for the spare planner: size and need of the pools, members of the racks. */
import { type InstanceId, type PoolId, type RackId, type ZoneId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { AvailabilityBudget, type Demand } from './AvailabilityBudget.js';

export interface PoolShape {
  readonly poolId: PoolId;
  readonly instances: number;
  /** Minimum number of instances that must serve. */
  readonly neededInstances: number;
  /** Maximum number of instances of the pool in one rack. */
  readonly maxInRack: number;
}

export interface RackShape {
  readonly zoneId: ZoneId;
  readonly rackId: RackId;
  /** Instances in this rack by the index of their pool in `FleetShape.pools`. */
  readonly members: readonly {
    readonly pool: number;
    readonly instanceIds: readonly InstanceId[];
  }[];
}

export interface FleetShape {
  readonly totalInstances: number;
  /** Instances in spare pools. */
  readonly spareInstances: number;
  readonly pools: readonly PoolShape[];
  /** Racks in roll-out order: by zone, then by rack. */
  readonly racks: readonly RackShape[];
}

interface PoolCount {
  readonly index: number;
  instances: number;
  slots: number;
  maxInRack: number;
}

function rackKey(zoneId: ZoneId, rackId: RackId): string {
  return `${zoneId}\n${rackId}`;
}

function racksOf(
  document: ConfigDocument,
  counts: ReadonlyMap<PoolId, PoolCount>,
): readonly RackShape[] {
  const racks = new Map<
    string,
    { zoneId: ZoneId; rackId: RackId; instancesByPool: Map<number, InstanceId[]> }
  >();
  Object.entries(document.instances).forEach(([instanceId, { zoneId, rackId, poolId }]) => {
    const key = rackKey(zoneId, rackId);
    const rack = racks.get(key) ?? {
      zoneId,
      rackId,
      instancesByPool: new Map<number, InstanceId[]>(),
    };
    const count = counts.get(poolId);
    racks.set(key, rack);
    if (!count) return;
    const members = rack.instancesByPool.get(count.index) ?? [];
    members.push(instanceId);
    rack.instancesByPool.set(count.index, members);
    count.maxInRack = Math.max(count.maxInRack, members.length);
  });
  return [...racks.entries()]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([, { zoneId, rackId, instancesByPool }]) => ({
      zoneId,
      rackId,
      members: [...instancesByPool].map(([pool, instanceIds]) => ({ pool, instanceIds })),
    }));
}

/** Summarizes the fleet for a smoothed demand. Spare pools have no need. */
export function fleetShape(document: ConfigDocument, demand: Demand): FleetShape {
  const counts = new Map<PoolId, PoolCount>();
  Object.keys(document.pools).forEach((poolId, index) => {
    counts.set(poolId, { index, instances: 0, slots: 0, maxInRack: 0 });
  });
  let spareInstances = 0;
  Object.values(document.instances).forEach(({ poolId, slots }) => {
    const count = counts.get(poolId);
    if (!count) return;
    count.instances += 1;
    count.slots += slots;
    if (document.pools[poolId]?.role === 'spare') spareInstances += 1;
  });
  const racks = racksOf(document, counts);
  const budget = new AvailabilityBudget(document, new Set(), demand);
  const pools = [...counts].map(([poolId, { instances, slots, maxInRack }]) => {
    const need = budget.needOf(poolId);
    const meanSlots = instances > 0 ? slots / instances : 1;
    const neededInstances = Math.max(need.instances, Math.ceil(need.slots / meanSlots));
    return { poolId, instances, neededInstances, maxInRack };
  });
  const totalInstances = Object.keys(document.instances).length;
  return { totalInstances, spareInstances, pools, racks };
}
