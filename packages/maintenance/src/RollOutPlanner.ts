/**
 * Plans the next step of a roll-out. The roll-out goes rack by rack through one availability zone,
 * then through the next. An instance joins a step only if its pool would stay within its budget
 * with all instances of the step out of service and one more rack lost.
 */
import { type InstanceId, type PoolId, type RackId, type ZoneId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { type AvailabilityBudget, type Shortfall } from './AvailabilityBudget.js';

export interface RollOutWork {
  /** Instances still to be rebooted whose step has not started. */
  readonly waiting: readonly InstanceId[];
  /** Instances of the roll-out whose step is in progress. */
  readonly underWay: readonly InstanceId[];
  /** Maximum number of racks that may have a step in progress. */
  readonly racksAtOnce: number;
}

export type NextStep =
  | { readonly kind: 'step'; readonly instanceIds: readonly InstanceId[] }
  /** The steps in progress must end first. */
  | { readonly kind: 'wave-under-way' }
  /** No step keeps the budgets; `shortfalls` has the pools that would fall below theirs. */
  | { readonly kind: 'blocked'; readonly shortfalls: readonly Shortfall[] }
  | { readonly kind: 'nothing-left' };

interface RackGroup {
  readonly zoneId: ZoneId;
  readonly rackId: RackId;
  readonly instanceIds: InstanceId[];
}

export class RollOutPlanner {
  constructor(private readonly document: ConfigDocument) {}

  /**
   * `budget` must already exclude every instance that does not serve. The instances of the
   * returned step are excluded from it too.
   */
  next(work: RollOutWork, budget: AvailabilityBudget): NextStep {
    const busyRacks = new Set(work.underWay.map((id) => this.document.instances[id]?.rackId));
    const busyZones = new Set(work.underWay.map((id) => this.document.instances[id]?.zoneId));
    const groups = this.groupByRack(work.waiting);
    const [first] = groups;
    if (!first)
      return work.underWay.length > 0 ? { kind: 'wave-under-way' } : { kind: 'nothing-left' };
    const shortfalls = new Map<PoolId, Shortfall>();
    const taken: InstanceId[] = [];
    const racks = new Set(busyRacks);
    let zoneId = work.underWay.length > 0 ? [...busyZones][0] : undefined;
    groups.forEach((group) => {
      if (zoneId !== undefined && group.zoneId !== zoneId) return;
      if (!racks.has(group.rackId) && racks.size >= work.racksAtOnce) return;
      const chosen = this.selectWithinBudget(group, budget, shortfalls);
      if (chosen.length === 0) return;
      zoneId = group.zoneId;
      racks.add(group.rackId);
      taken.push(...chosen);
    });
    if (taken.length > 0) return { kind: 'step', instanceIds: taken };
    if (work.underWay.length > 0) return { kind: 'wave-under-way' };
    return { kind: 'blocked', shortfalls: [...shortfalls.values()] };
  }

  private selectWithinBudget(
    group: RackGroup,
    budget: AvailabilityBudget,
    shortfalls: Map<PoolId, Shortfall>,
  ): InstanceId[] {
    return group.instanceIds.filter((instanceId) => {
      const poolId = this.document.instances[instanceId]?.poolId ?? '';
      budget.exclude(instanceId);
      const shortfall = budget.shortfallAfterRackLoss(poolId);
      if (!shortfall) return true;
      budget.include(instanceId);
      if (!shortfalls.has(poolId)) shortfalls.set(poolId, shortfall);
      return false;
    });
  }

  private groupByRack(instanceIds: readonly InstanceId[]): RackGroup[] {
    const groups = new Map<string, RackGroup>();
    instanceIds.forEach((instanceId) => {
      const instance = this.document.instances[instanceId];
      if (!instance) return;
      const { zoneId, rackId } = instance;
      const key = `${zoneId}\n${rackId}`;
      const group = groups.get(key) ?? { zoneId, rackId, instanceIds: [] };
      group.instanceIds.push(instanceId);
      groups.set(key, group);
    });
    return [...groups.entries()].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, group]) => group);
  }
}
