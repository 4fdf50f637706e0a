/**
 * Chooses which instances of an upkeep wave to reserve next, so that they are emptied, and which
 * may go down now. Instances without work go first. A pool with waiting work keeps its instances
 * until time runs short.
 */

export interface UpkeepCandidate {
  readonly instanceId: string;
  readonly poolId: string;
  /** Nothing runs on the instance, and nothing can be placed on it any more. */
  readonly isEmpty: boolean;
  /**
   * The coordinator has reserved the instance for the wave: it gets no new work and is emptied.
   * This is not the `draining` state, which a target reports when it shuts down itself.
   */
  readonly isReserved: boolean;
  /** The instance cannot be ordered down now, because it is moving or already down. */
  readonly isUnavailable: boolean;
  readonly runCount: number;
  readonly isSpare: boolean;
}

export interface PoolPressure {
  /** Instances of the pool that accept work. */
  readonly openCount: number;
  readonly hasWaitingWork: boolean;
}

export interface WaveSituation {
  readonly candidates: readonly UpkeepCandidate[];
  readonly pools: ReadonlyMap<string, PoolPressure>;
  /** Instances that are down for the wave now, or may be. */
  readonly downCount: number;
  /** Maximum number of instances of the wave that may be down at once. */
  readonly mostAtOnce: number;
  /** Milliseconds until the wave is due. */
  readonly timeLeftMs: number;
  /** Time that one instance takes from being reserved to being back up, in milliseconds. */
  readonly perInstanceMs: number;
}

export interface UpkeepPlan {
  /** Instances to reserve for the wave, so that they accept no more work. */
  readonly reserve: readonly string[];
  /** Instances to take down now. */
  readonly begin: readonly string[];
}

/** Maximum fraction of a pool that is reserved at once, unless the wave is late. */
const MAX_POOL_SHARE = 0.34;

/** The wave is late when less than this multiple of the time that it needs is left. */
const LATE_FACTOR = 1.6;

export class UpkeepPlanner {
  static plan(situation: WaveSituation): UpkeepPlan {
    const { candidates, downCount, mostAtOnce } = situation;
    let available = mostAtOnce - downCount;
    const begin: string[] = [];
    for (const candidate of candidates) {
      if (available > 0 && candidate.isEmpty && !candidate.isUnavailable) {
        begin.push(candidate.instanceId);
        available -= 1;
      }
    }
    const drainingCount = candidates.filter((one) => one.isReserved && !one.isEmpty).length;
    const reserve = UpkeepPlanner.chooseNext(situation, available - drainingCount);
    return { reserve, begin };
  }

  private static chooseNext(situation: WaveSituation, count: number): string[] {
    const isWaveLate = UpkeepPlanner.isLate(situation);
    const reservedByPool = new Map<string, number>();
    situation.candidates
      .filter((one) => one.isReserved)
      .forEach(({ poolId }) => reservedByPool.set(poolId, (reservedByPool.get(poolId) ?? 0) + 1));
    const alreadyReservedByPool = new Map(reservedByPool);
    const chosen: string[] = [];
    const byLoad = [...situation.candidates]
      .filter((one) => !one.isReserved && !one.isEmpty && !one.isUnavailable)
      .sort((a, b) => a.runCount - b.runCount);
    for (const { instanceId, poolId } of byLoad) {
      if (chosen.length >= count) break;
      const reservedCount = reservedByPool.get(poolId) ?? 0;
      const pool = situation.pools.get(poolId);
      const poolSize = (pool?.openCount ?? 0) + (alreadyReservedByPool.get(poolId) ?? 0);
      if (!isWaveLate && !UpkeepPlanner.mayReserve(pool, reservedCount, poolSize)) continue;
      reservedByPool.set(poolId, reservedCount + 1);
      chosen.push(instanceId);
    }
    return chosen;
  }

  private static mayReserve(
    pool: PoolPressure | undefined,
    reservedCount: number,
    poolSize: number,
  ): boolean {
    if (!pool) return true;
    if (pool.hasWaitingWork) return false;
    return reservedCount + 1 <= Math.max(1, Math.floor(poolSize * MAX_POOL_SHARE));
  }

  private static isLate({
    candidates,
    mostAtOnce,
    perInstanceMs,
    timeLeftMs,
  }: WaveSituation): boolean {
    const rounds = Math.ceil(candidates.length / Math.max(1, mostAtOnce));
    return timeLeftMs < rounds * perInstanceMs * LATE_FACTOR;
  }
}
