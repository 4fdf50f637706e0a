/**
 * Divides a fleet among pools that together need more instances than it has, by max-min fairness
 * (progressive filling: Bertsekas and Gallager, Data Networks, 1992, section 6.5.2): small needs
 * are met in full, and the remaining pools divide the rest equally. This keeps a pool whose backlog
 * could use the whole fleet from starving pools that need a few instances.
 */

/** The number of instances that a pool needs; unrelated to a claim of the journal. */
export interface PoolClaim {
  readonly poolId: string;
  /** Instances that the pool could use now. */
  readonly needed: number;
}

export interface PoolPart {
  readonly poolId: string;
  /** Instances allocated to the pool; never more than it needs. */
  readonly count: number;
}

export class FleetDivider {
  /** Returns the part of each pool, in ascending order of need. */
  static divide(claims: readonly PoolClaim[], fleetSize: number): PoolPart[] {
    const claimsByNeed = [...claims].sort((a, b) => a.needed - b.needed);
    // Instances that are not allocated yet.
    let left = fleetSize;
    return claimsByNeed.map(({ poolId, needed }, index) => {
      const equalPart = Math.ceil(left / (claimsByNeed.length - index));
      const count = Math.max(0, Math.min(needed, equalPart, left));
      left -= count;
      return { poolId, count };
    });
  }
}
