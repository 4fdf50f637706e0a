/**
 * Lends spare instances to pools that cannot be maintained without them, and returns them when the
 * pool has no pending instances left. Spares in the racks with the fewest instances of the pool are
 * preferred, since they add the least to what the pool loses with a rack. Among these, spares that
 * are not pending in the roll-out themselves come first.
 */
import { type InstanceId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { type AvailabilityBudget, type Shortfall } from './AvailabilityBudget.js';
import { type RollOut, type WantedMove } from './MaintenanceState.js';

/**
 * The ids of the moves end in the number of ended moves of the roll-out, which increases when a
 * spare is returned. A spare that is lent again therefore gets a new id.
 */
export class SpareLender {
  constructor(
    private readonly document: ConfigDocument,
    /** Whether the instance is healthy and has no open job. */
    private readonly isFree: (instanceId: InstanceId) => boolean,
  ) {}

  /** Moves that cover the shortfalls, for each pool whose shortfall the free spares can cover. */
  lend(rollOut: RollOut, shortfalls: readonly Shortfall[]): readonly WantedMove[] {
    const lent = new Set(rollOut.lent.map(({ instanceId }) => instanceId));
    let free = this.spares().filter((instanceId) => !lent.has(instanceId));
    return shortfalls.flatMap((shortfall) => {
      const chosen = this.selectToCover(
        shortfall,
        this.byPreference(free, shortfall.poolId, rollOut),
      );
      free = free.filter((instanceId) => !chosen.includes(instanceId));
      return chosen.map((instanceId) => this.move(rollOut, instanceId, shortfall.poolId));
    });
  }

  /** Moves that return the instances lent to pools that have no pending instances left. */
  returnSpares(rollOut: RollOut, budget: AvailabilityBudget): readonly WantedMove[] {
    const poolsWithPending = new Set<string>();
    if (rollOut.status !== 'aborted') {
      const lent = new Set(rollOut.lent.map(({ instanceId }) => instanceId));
      rollOut.pending
        .filter((instanceId) => !lent.has(instanceId))
        .forEach((instanceId) => {
          const poolId = this.document.instances[instanceId]?.poolId;
          if (poolId !== undefined) poolsWithPending.add(poolId);
        });
    }
    return rollOut.lent
      .filter(({ toPoolId }) => !poolsWithPending.has(toPoolId))
      .filter(({ instanceId, toPoolId }) => {
        if (this.document.instances[instanceId]?.poolId !== toPoolId) return false;
        if (!this.isFree(instanceId)) return false;
        budget.exclude(instanceId);
        if (!budget.shortfallNow(toPoolId)) return true;
        budget.include(instanceId);
        return false;
      })
      .map(({ instanceId, fromPoolId }) => ({
        moveId: `return.${rollOut.rollOutId}.${instanceId}.${rollOut.moves}`,
        instanceId,
        toPoolId: fromPoolId,
        rollOutId: rollOut.rollOutId,
      }));
  }

  /** Free instances that serve in a spare pool. */
  private spares(): InstanceId[] {
    return Object.entries(this.document.instances)
      .filter(
        ([, { poolId, intent }]) =>
          this.document.pools[poolId]?.role === 'spare' && intent === 'serving',
      )
      .map(([instanceId]) => instanceId)
      .filter((instanceId) => this.isFree(instanceId));
  }

  /** Sorts the spares by their suitability for the pool; see the head of this module. */
  private byPreference(
    spares: readonly InstanceId[],
    poolId: string,
    rollOut: RollOut,
  ): InstanceId[] {
    const pending = new Set(rollOut.pending);
    const poolInstancesByRack = new Map<string, number>();
    Object.values(this.document.instances)
      .filter((instance) => instance.poolId === poolId)
      .forEach(({ rackId }) =>
        poolInstancesByRack.set(rackId, (poolInstancesByRack.get(rackId) ?? 0) + 1),
      );
    const ranked = spares.map((instanceId) => ({
      instanceId,
      poolInstancesInRack:
        poolInstancesByRack.get(this.document.instances[instanceId]?.rackId ?? '') ?? 0,
      isPending: Number(pending.has(instanceId)),
    }));
    ranked.sort(
      (a, b) => a.poolInstancesInRack - b.poolInstancesInRack || a.isPending - b.isPending,
    );
    return ranked.map(({ instanceId }) => instanceId);
  }

  /** The first free spares that together cover the shortfall; empty if all of them cannot. */
  private selectToCover(shortfall: Shortfall, free: readonly InstanceId[]): InstanceId[] {
    const chosen: InstanceId[] = [];
    let { missingInstances, missingSlots } = shortfall;
    free.forEach((instanceId) => {
      if (missingInstances <= 0 && missingSlots <= 0) return;
      missingInstances -= 1;
      missingSlots -= this.document.instances[instanceId]?.slots ?? 0;
      chosen.push(instanceId);
    });
    return missingInstances <= 0 && missingSlots <= 0 ? chosen : [];
  }

  private move(rollOut: RollOut, instanceId: InstanceId, toPoolId: string): WantedMove {
    return {
      moveId: `lend.${rollOut.rollOutId}.${instanceId}.${rollOut.moves}`,
      instanceId,
      toPoolId,
      rollOutId: rollOut.rollOutId,
      lentFromPoolId: this.document.instances[instanceId]?.poolId,
    };
  }
}
