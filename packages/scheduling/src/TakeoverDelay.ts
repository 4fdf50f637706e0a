/**
 * Delays the first grant of a pool whose home this entry has just become. The gateways resend their
 * waiting tickets, oldest first; without the delay the first arrivals would get all slots,
 * regardless of their teams' shares.
 */
import { type Clock, type EntryId, type PoolId } from '@acaciadock/core';
import { type PoolHomes } from './PoolHomes.js';

const FIRST_GRANT_DELAY_MS = 150;

export class TakeoverDelay {
  private ownPools: ReadonlySet<PoolId>;

  /** When the delay of each pool ends, in monotonic milliseconds. */
  private readonly delayedUntilMs = new Map<PoolId, number>();

  constructor(
    private readonly selfEntryId: EntryId,
    private readonly homes: PoolHomes,
    private readonly clock: Clock,
    poolIds: Iterable<PoolId>,
  ) {
    this.ownPools = this.ownPoolsOf(poolIds);
  }

  /** Starts the delay of newly owned pools. Call after the homes have changed. */
  update(poolIds: Iterable<PoolId>): void {
    const previous = this.ownPools;
    this.ownPools = this.ownPoolsOf(poolIds);
    const untilMs = this.clock.monotonicMs() + FIRST_GRANT_DELAY_MS;
    this.ownPools.forEach((poolId) => {
      if (!previous.has(poolId)) this.delayedUntilMs.set(poolId, untilMs);
    });
  }

  isDelayed(poolId: PoolId): boolean {
    const untilMs = this.delayedUntilMs.get(poolId);
    if (untilMs === undefined) return false;
    if (this.clock.monotonicMs() < untilMs) return true;
    this.delayedUntilMs.delete(poolId);
    return false;
  }

  private ownPoolsOf(poolIds: Iterable<PoolId>): ReadonlySet<PoolId> {
    return new Set(
      [...poolIds].filter((poolId) => this.homes.homeOfPool(poolId) === this.selfEntryId),
    );
  }
}
