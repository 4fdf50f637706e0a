/**
 * A home that takes a pool over waits a moment before its first grant. The gateways send their
 * waiting tickets again at once, the oldest first, and those that come first would otherwise get
 * every slot whatever their teams' portions.
 */
import { type Clock, type EntryId, type PoolId } from '@acaciadock/core';
import { type PoolHomes } from './PoolHomes.js';

const GATHER_MS = 150;

export class Takeover {
  private own: ReadonlySet<PoolId>;

  /** Until when tickets are gathered, monotonic milliseconds. */
  private readonly gatherUntilMs = new Map<PoolId, number>();

  constructor(
    private readonly selfEntryId: EntryId,
    private readonly homes: PoolHomes,
    private readonly clock: Clock,
    poolIds: Iterable<PoolId>,
  ) {
    this.own = this.ownOf(poolIds);
  }

  /** Call after the homes changed. */
  update(poolIds: Iterable<PoolId>): void {
    const before = this.own;
    this.own = this.ownOf(poolIds);
    const untilMs = this.clock.monotonicMs() + GATHER_MS;
    this.own.forEach((poolId) => {
      if (!before.has(poolId)) this.gatherUntilMs.set(poolId, untilMs);
    });
  }

  isGathering(poolId: PoolId): boolean {
    const untilMs = this.gatherUntilMs.get(poolId);
    if (untilMs === undefined) return false;
    if (this.clock.monotonicMs() < untilMs) return true;
    this.gatherUntilMs.delete(poolId);
    return false;
  }

  private ownOf(poolIds: Iterable<PoolId>): ReadonlySet<PoolId> {
    return new Set(
      [...poolIds].filter((poolId) => this.homes.homeOfPool(poolId) === this.selfEntryId),
    );
  }
}
