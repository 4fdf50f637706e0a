/** Tells all entries how much work is open on the leaving targets of this home's pools. */
import { type Clock, type EntryId, type InstanceId, type PoolId } from '@acaciadock/core';
import { type DrainStatus } from '@acaciadock/peers';
import { type ForeignWork } from './ForeignWork.js';
import { type GrantBook } from './GrantBook.js';
import { type PoolBoard } from './PoolBoard.js';
import { type PoolHomes } from './PoolHomes.js';

/** A new home waits for the gateways' work reports before it tells anything. */
const SETTLE_MS = 3_000;

export class DrainReporter {
  private readonly homeSinceMs = new Map<PoolId, number>();

  constructor(
    private readonly selfEntryId: EntryId,
    private readonly board: PoolBoard,
    private readonly homes: PoolHomes,
    private readonly grants: GrantBook,
    private readonly foreign: ForeignWork,
    private readonly clock: Clock,
  ) {}

  /** The status to tell; undefined if no target of a settled pool leaves and none has work. */
  status(): DrainStatus | undefined {
    const open = new Map<InstanceId, number>();
    for (const poolId of this.board.poolIds()) {
      if (this.isSettledHome(poolId)) this.addLeaving(poolId, open);
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

  private addLeaving(poolId: PoolId, open: Map<InstanceId, number>): void {
    this.board.leavingOf(poolId).forEach((instanceId) => {
      open.set(instanceId, this.grants.openOn(instanceId) + this.foreign.openOn(instanceId));
    });
  }
}
