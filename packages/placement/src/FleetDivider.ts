/**
 * Divides a fleet among pools that together ask for more instances than there are, by max-min
 * fairness (progressive filling: Bertsekas and Gallager, Data Networks, 1992, section 6.5.2): who
 * asks for little gets all of it, and the others get equal parts of what is left. Answers the load
 * in which one pool's backlog could use the whole fleet while another needs a few instances.
 */

export interface PoolClaim {
  readonly poolId: string;
  /** Instances that the pool could use now. */
  readonly needed: number;
}

export interface PoolPart {
  readonly poolId: string;
  /** Instances that the pool is entitled to; never more than it needs. */
  readonly count: number;
}

export class FleetDivider {
  static divide(claims: readonly PoolClaim[], fleetSize: number): PoolPart[] {
    const ascending = [...claims].sort((a, b) => a.needed - b.needed);
    let left = fleetSize;
    return ascending.map(({ poolId, needed }, index) => {
      const equalPart = Math.ceil(left / (ascending.length - index));
      const count = Math.max(0, Math.min(needed, equalPart, left));
      left -= count;
      return { poolId, count };
    });
  }
}
