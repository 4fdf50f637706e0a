/**
 * Counts the open grants on the closed targets of this home's pools, for `drain-status` messages.
 */
import { type Clock, type EntryId, type InstanceId, type PoolId } from '@acaciadock/core';
import { type DrainStatus } from '@acaciadock/peers';
import { type ForeignGrants } from './ForeignGrants.js';
import { type OpenGrants } from './OpenGrants.js';
import { type PoolSchedulers } from './PoolSchedulers.js';
import { type PoolHomes } from './PoolHomes.js';

/**
 * A new home reports nothing for this long, so that the gateways' work reports can arrive first.
 */
const SETTLE_MS = 3_000;

export class DrainReporter {
  private readonly homeSinceMs = new Map<PoolId, number>();

  constructor(
    private readonly selfEntryId: EntryId,
    private readonly schedulers: PoolSchedulers,
    private readonly homes: PoolHomes,
    private readonly grants: OpenGrants,
    private readonly foreign: ForeignGrants,
    private readonly clock: Clock,
  ) {}

  /**
   * The message to send; undefined if no pool that has had its home here long enough has a closed
   * target.
   */
  status(): DrainStatus | undefined {
    const open = new Map<InstanceId, number>();
    for (const poolId of this.schedulers.poolIds()) {
      if (this.isSettledHome(poolId)) this.addClosedTargets(poolId, open);
    }
    if (open.size === 0) return undefined;
    const instances = [...open].map(([instanceId, openGrants]) => ({ instanceId, openGrants }));
    return { kind: 'drain-status', instances };
  }

  private isSettledHome(poolId: PoolId): boolean {
    if (this.homes.homeOfPool(poolId) !== this.selfEntryId) {
      this.homeSinceMs.delete(poolId);
      return false;
    }
    const nowMs = this.clock.monotonicMs();
    const sinceMs = this.homeSinceMs.get(poolId) ?? nowMs;
    this.homeSinceMs.set(poolId, sinceMs);
    return nowMs - sinceMs >= SETTLE_MS;
  }

  private addClosedTargets(poolId: PoolId, open: Map<InstanceId, number>): void {
    this.schedulers.closedOf(poolId).forEach((instanceId) => {
      open.set(instanceId, this.grants.openOn(instanceId) + this.foreign.openOn(instanceId));
    });
  }
}
