/**
 * Keeps scheduling fair across pools with different homes, after the distributed start-time fair
 * queueing of Wang and Merchant (2007): a pool also charges a team for the slot time that it
 * received in other pools since the last collection. Only a fraction of that time is charged, and
 * the time counted is at most `MAX_ELSEWHERE_RATIO` times what the team received in the pool
 * itself, so that the team keeps a minimum portion in every pool.
 */
import { type PoolId, type TeamId } from '@acaciadock/core';

const MAX_ELSEWHERE_RATIO = 3;
/**
 * The fraction of slot time in other pools that a pool charges. All pools correct the same
 * imbalance from data that is seconds old; charging all of it would make them overshoot and
 * oscillate.
 */
const CHARGE_RATIO = 0.25;

export interface TeamSlotTime {
  readonly teamId: TeamId;
  readonly slotMs: number;
}

function add(sums: Map<TeamId, number>, teamId: TeamId, slotMs: number): void {
  sums.set(teamId, (sums.get(teamId) ?? 0) + slotMs);
}

export class FleetUsage {
  private readonly byPool = new Map<PoolId, Map<TeamId, number>>();

  private remote = new Map<TeamId, number>();

  /** Adds slot time that a team received in a pool of this entry. */
  addLocal(poolId: PoolId, teamId: TeamId, slotMs: number): void {
    const known = this.byPool.get(poolId) ?? new Map<TeamId, number>();
    add(known, teamId, slotMs);
    this.byPool.set(poolId, known);
  }

  /** Adds slot time that teams received from another home. */
  addRemote(teams: readonly TeamSlotTime[]): void {
    teams.forEach(({ teamId, slotMs }) => add(this.remote, teamId, slotMs));
  }

  /**
   * Returns the charges of each pool for other pools, and in `local` the totals over all pools of
   * this entry, to report to other homes. Resets the counts.
   */
  collect(): {
    readonly charges: ReadonlyMap<PoolId, readonly TeamSlotTime[]>;
    readonly local: readonly TeamSlotTime[];
  } {
    const entryTotals = new Map<TeamId, number>();
    this.byPool.forEach((teams) =>
      teams.forEach((slotMs, teamId) => add(entryTotals, teamId, slotMs)),
    );
    const charges = new Map(
      [...this.byPool].map(([poolId, teams]) => [poolId, this.chargesOf(teams, entryTotals)]),
    );
    this.byPool.clear();
    this.remote = new Map();
    return {
      charges,
      local: [...entryTotals].map(([teamId, slotMs]) => ({ teamId, slotMs })),
    };
  }

  /**
   * Charges of one pool for the slot time of its teams in all other pools.
   * @param pool slot time that each team received in this pool
   * @param entryTotals slot time that each team received in all pools of this entry
   */
  private chargesOf(
    pool: ReadonlyMap<TeamId, number>,
    entryTotals: ReadonlyMap<TeamId, number>,
  ): readonly TeamSlotTime[] {
    return [...pool]
      .map(([teamId, inPoolMs]) => {
        const elsewhereMs =
          (entryTotals.get(teamId) ?? 0) - inPoolMs + (this.remote.get(teamId) ?? 0);
        return {
          teamId,
          slotMs: CHARGE_RATIO * Math.min(elsewhereMs, MAX_ELSEWHERE_RATIO * inPoolMs),
        };
      })
      .filter(({ slotMs }) => slotMs > 0);
  }
}
