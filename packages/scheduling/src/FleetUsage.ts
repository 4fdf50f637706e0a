/**
 * Fairness of a team over pools with different homes, after the distributed start-time fair
 * queueing of Wang and Merchant (2007): a pool charges a team also for slot time that it was given
 * in other pools since the last turn. A part of that time is charged, and at most of `MOST_ELSEWHERE` times what the
 * team got in the pool itself, so that it keeps a bounded part of its portion everywhere.
 */
import { type PoolId, type TeamId } from '@acaciadock/core';

const MOST_ELSEWHERE = 3;
/**
 * Part of the time elsewhere that a pool charges. Every pool corrects for the same imbalance, by
 * figures that are seconds old; at the full part they would overshoot in turn.
 */
const GAIN = 0.25;

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

  /** Slot time given here since `collect`. */
  addLocal(poolId: PoolId, teamId: TeamId, slotMs: number): void {
    const known = this.byPool.get(poolId) ?? new Map<TeamId, number>();
    add(known, teamId, slotMs);
    this.byPool.set(poolId, known);
  }

  /** Slot time that another home gave. */
  addRemote(teams: readonly TeamSlotTime[]): void {
    teams.forEach(({ teamId, slotMs }) => add(this.remote, teamId, slotMs));
  }

  /** What to charge each pool for time elsewhere, and what to tell the other homes. Starts over. */
  collect(): {
    readonly charges: ReadonlyMap<PoolId, readonly TeamSlotTime[]>;
    readonly local: readonly TeamSlotTime[];
  } {
    const local = new Map<TeamId, number>();
    this.byPool.forEach((teams) => teams.forEach((slotMs, teamId) => add(local, teamId, slotMs)));
    const charges = new Map(
      [...this.byPool].map(([poolId, teams]) => [poolId, this.chargesOf(teams, local)]),
    );
    this.byPool.clear();
    this.remote = new Map();
    return {
      charges,
      local: [...local].map(([teamId, slotMs]) => ({ teamId, slotMs })),
    };
  }

  private chargesOf(
    pool: ReadonlyMap<TeamId, number>,
    local: ReadonlyMap<TeamId, number>,
  ): readonly TeamSlotTime[] {
    return [...pool]
      .map(([teamId, hereMs]) => {
        const elsewhereMs = (local.get(teamId) ?? 0) - hereMs + (this.remote.get(teamId) ?? 0);
        return { teamId, slotMs: GAIN * Math.min(elsewhereMs, MOST_ELSEWHERE * hereMs) };
      })
      .filter(({ slotMs }) => slotMs > 0);
  }
}
