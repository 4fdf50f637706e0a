/**
 * Remembers how many instances each pool needed in its turns, and from that what another pool will need
 * in its first one. It answers the first turns of a day: the work of a pool that begins its turn rises
 * to several times its level faster than instances can be moved there. The operator gave each pool
 * instances in proportion to its usual demand, so turns need about the same multiple of them.
 */

/** A need counts once it has lasted this long, in milliseconds: not the backlog of a moment. */
const SUSTAINED_MS = 800;

interface PoolNeeds {
  /** Instances of the pool when it was first seen. */
  readonly initialCount: number;
  /** Largest need that lasted. */
  readonly largest: number;
}

export interface NeedSample {
  readonly atMs: number;
  readonly count: number;
}

export class SustainedNeeds {
  private readonly byPool = new Map<string, PoolNeeds>();

  /** Records the recent needs of a pool that has had a turn, oldest first. */
  record(poolId: string, initialCount: number, recent: readonly NeedSample[]): void {
    const first = recent[0];
    const last = recent.at(-1);
    if (!first || !last || last.atMs - first.atMs < SUSTAINED_MS) return;
    const lasting = Math.min(...recent.map(({ count }) => count));
    const known = this.largestOf(poolId) ?? 0;
    if (lasting > known) this.byPool.set(poolId, { initialCount, largest: lasting });
  }

  /** Continues from what another process recorded. */
  restore(poolId: string, needs: PoolNeeds): void {
    this.byPool.set(poolId, needs);
  }

  largestOf(poolId: string): number | undefined {
    return this.byPool.get(poolId)?.largest;
  }

  /** The instances that a pool will need in its first turn; 0 before another pool has had one. */
  expectedFor(poolId: string, initialCount: number): number {
    const multiples = [...this.byPool]
      .filter(([other]) => other !== poolId)
      .map(([, needs]) => needs.largest / Math.max(1, needs.initialCount));
    return Math.ceil(Math.max(0, ...multiples) * initialCount);
  }
}
