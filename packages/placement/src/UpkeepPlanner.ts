/**
 * Chooses which instances of a wave to empty next and which may go down now. Instances that carry
 * nothing go first; a pool with work waiting keeps its instances until the time runs short.
 */

export interface UpkeepCandidate {
  readonly instanceId: string;
  readonly poolId: string;
  /** Nothing runs there and nothing can be placed there any more. */
  readonly isEmpty: boolean;
  /** It is being emptied. */
  readonly isReserved: boolean;
  /** It can't be ordered down now: it is moving, or down already. */
  readonly isBusy: boolean;
  readonly runCount: number;
  readonly isSpare: boolean;
}

export interface PoolPressure {
  /** Instances of the pool that take work. */
  readonly openCount: number;
  readonly hasWaitingWork: boolean;
}

export interface WaveSituation {
  readonly candidates: readonly UpkeepCandidate[];
  readonly pools: ReadonlyMap<string, PoolPressure>;
  /** Instances of the wave that are down for it now, or may be. */
  readonly downCount: number;
  readonly mostAtOnce: number;
  readonly timeLeftMs: number;
  /** Time one instance takes from being chosen to being back, in milliseconds. */
  readonly stepMs: number;
}

export interface UpkeepPlan {
  /** Instances to take no more work. */
  readonly reserve: readonly string[];
  /** Instances to send down now. */
  readonly begin: readonly string[];
}

/** At most this share of a pool is emptied at the same time while there is time. */
const MOST_POOL_SHARE = 0.34;

/** The plan hurries when less than this many times the needed time is left. */
const HURRY_FACTOR = 1.6;

export class UpkeepPlanner {
  static plan(situation: WaveSituation): UpkeepPlan {
    const { candidates, downCount, mostAtOnce } = situation;
    let free = mostAtOnce - downCount;
    const begin: string[] = [];
    for (const candidate of candidates) {
      if (free > 0 && candidate.isEmpty && !candidate.isBusy) {
        begin.push(candidate.instanceId);
        free -= 1;
      }
    }
    const emptying = candidates.filter((one) => one.isReserved && !one.isEmpty).length;
    const reserve = UpkeepPlanner.chooseNext(situation, free - emptying);
    return { reserve, begin };
  }

  private static chooseNext(situation: WaveSituation, count: number): string[] {
    const hurry = UpkeepPlanner.isLate(situation);
    const taken = new Map<string, number>();
    situation.candidates
      .filter((one) => one.isReserved)
      .forEach(({ poolId }) => taken.set(poolId, (taken.get(poolId) ?? 0) + 1));
    const reservedBefore = new Map(taken);
    const chosen: string[] = [];
    const byLoad = [...situation.candidates]
      .filter((one) => !one.isReserved && !one.isEmpty && !one.isBusy)
      .sort((a, b) => a.runCount - b.runCount);
    for (const { instanceId, poolId } of byLoad) {
      if (chosen.length >= count) break;
      const already = taken.get(poolId) ?? 0;
      const pool = situation.pools.get(poolId);
      const wholeCount = (pool?.openCount ?? 0) + (reservedBefore.get(poolId) ?? 0);
      if (!hurry && !UpkeepPlanner.mayTake(pool, already, wholeCount)) continue;
      taken.set(poolId, already + 1);
      chosen.push(instanceId);
    }
    return chosen;
  }

  private static mayTake(
    pool: PoolPressure | undefined,
    already: number,
    wholeCount: number,
  ): boolean {
    if (!pool) return true;
    if (pool.hasWaitingWork) return false;
    return already + 1 <= Math.max(1, Math.floor(wholeCount * MOST_POOL_SHARE));
  }

  private static isLate({ candidates, mostAtOnce, stepMs, timeLeftMs }: WaveSituation): boolean {
    const rounds = Math.ceil(candidates.length / Math.max(1, mostAtOnce));
    return timeLeftMs < rounds * stepMs * HURRY_FACTOR;
  }
}
