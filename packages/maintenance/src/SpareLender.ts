/**
 * Lends spare instances to pools that can't be maintained without one, and takes them back when
 * the pool has nothing left to do. A spare that has had its own reboot is preferred: it need not
 * be taken out again while it is lent.
 */
import { type InstanceId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { type AvailabilityBudget, type Shortfall } from './AvailabilityBudget.js';
import { type RollOut, type WantedMove } from './MaintenanceState.js';

export class SpareLender {
  constructor(
    private readonly document: ConfigDocument,
    private readonly isFree: (instanceId: InstanceId) => boolean,
  ) {}

  /** Moves that would let the roll-out go on, for the first pool that can be helped. */
  lend(rollOut: RollOut, shortfalls: readonly Shortfall[]): readonly WantedMove[] {
    const spares = this.spares(rollOut);
    const lent = new Set(rollOut.lent.map(({ instanceId }) => instanceId));
    const free = spares.filter((instanceId) => !lent.has(instanceId));
    for (const shortfall of shortfalls) {
      const chosen = this.cover(shortfall, free);
      if (chosen.length > 0) {
        return chosen.map((instanceId) => this.move(rollOut, instanceId, shortfall.poolId));
      }
    }
    return [];
  }

  /** Moves that give back what is lent to pools with nothing left to do. */
  giveBack(rollOut: RollOut, budget: AvailabilityBudget): readonly WantedMove[] {
    const waitingPools = new Set<string>();
    if (rollOut.status !== 'aborted') {
      const lent = new Set(rollOut.lent.map(({ instanceId }) => instanceId));
      rollOut.pending
        .filter((instanceId) => !lent.has(instanceId))
        .forEach((instanceId) => {
          const poolId = this.document.instances[instanceId]?.poolId;
          if (poolId !== undefined) waitingPools.add(poolId);
        });
    }
    return rollOut.lent
      .filter(({ toPoolId }) => !waitingPools.has(toPoolId))
      .filter(({ instanceId, toPoolId }) => {
        if (this.document.instances[instanceId]?.poolId !== toPoolId) return false;
        if (!this.isFree(instanceId)) return false;
        budget.takeOut(instanceId);
        if (!budget.shortfallNow(toPoolId)) return true;
        budget.putBack(instanceId);
        return false;
      })
      .map(({ instanceId, fromPoolId }) => ({
        moveId: `return.${rollOut.rollOutId}.${instanceId}.${rollOut.moves}`,
        instanceId,
        toPoolId: fromPoolId,
        rollOutId: rollOut.rollOutId,
      }));
  }

  private spares(rollOut: RollOut): InstanceId[] {
    const pending = new Set(rollOut.pending);
    return Object.entries(this.document.instances)
      .filter(
        ([, { poolId, intent }]) =>
          this.document.pools[poolId]?.role === 'spare' && intent === 'serving',
      )
      .map(([instanceId]) => instanceId)
      .filter((instanceId) => this.isFree(instanceId))
      .sort((a, b) => Number(pending.has(a)) - Number(pending.has(b)) || (a < b ? -1 : 1));
  }

  private cover(shortfall: Shortfall, free: readonly InstanceId[]): InstanceId[] {
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
