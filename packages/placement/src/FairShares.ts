/**
 * Fair sharing of a pool among teams while it is scarce, i.e. while its last pass left tasks without
 * room. Teams are ordered by weighted dominant share, less a fairness credit: a decaying mean of what
 * the team lacked to its portion while its entitled work was denied. The credit is bounded, so that a
 * team can't save up a claim to the whole pool.
 */
import { type PoolHoldings, ShareOrder } from './ShareOrder.js';
import { ResourceVector } from './ResourceVector.js';

/**
 * Time constant of the credits, in milliseconds. Callers leave 3 s after their first try, so a denial
 * that is older has no caller any more.
 */
const CREDIT_TIME_MS = 3_000;

/** Largest credit, as a part of a team's portion of the pool. */
const MAX_CREDIT = 0.5;

/** Denials are recorded by passes, which are at most this far apart, in milliseconds. */
const MAX_PASS_GAP_MS = 100;

/** Credits below this order no teams and are dropped. */
const MIN_CREDIT = 0.001;

/** A team without weight still gets what nobody else wants. */
const MIN_WEIGHT = 1e-6;

export interface TeamCredit {
  readonly poolId: string;
  readonly teamId: string;
  readonly credit: number;
}

interface Credit extends TeamCredit {
  readonly updatedMs: number;
}

export interface SharePass {
  readonly poolId: string;
  readonly holdings: PoolHoldings;
  /** Teams with waiting work. */
  readonly waitingTeamIds: ReadonlySet<string>;
  readonly weightOf: (teamId: string) => number;
  readonly nowMs: number;
}

export class FairShares {
  private readonly credits = new Map<string, Credit>();

  /** The order of teams for one pass over a scarce pool. */
  orderFor(pass: SharePass): ShareOrder {
    return new ShareOrder({
      holdings: pass.holdings,
      portionOf: FairShares.portions(pass),
      creditOf: (teamId) => this.creditOf(pass.poolId, teamId, pass.nowMs),
    });
  }

  /** Records the teams whose entitled work found no room in the pass. */
  recordDenied(pass: SharePass, deniedTeamIds: ReadonlySet<string>): void {
    const { poolId, holdings, nowMs } = pass;
    const portionOf = FairShares.portions(pass);
    deniedTeamIds.forEach((teamId) => {
      const held = ResourceVector.ZERO.plus(holdings.byTeam.get(teamId) ?? ResourceVector.ZERO);
      const lacking = 1 - held.largestPartOf(holdings.capacity) / portionOf(teamId);
      const updatedMs = this.credits.get(FairShares.keyOf(poolId, teamId))?.updatedMs ?? -Infinity;
      const elapsedMs = Math.min(MAX_PASS_GAP_MS, nowMs - updatedMs);
      const earned = Math.max(0, lacking) * (1 - Math.exp(-elapsedMs / CREDIT_TIME_MS));
      const credit = this.creditOf(poolId, teamId, nowMs) + earned;
      this.set({ poolId, teamId, credit, updatedMs: nowMs });
    });
  }

  creditOf(poolId: string, teamId: string, nowMs: number): number {
    const known = this.credits.get(FairShares.keyOf(poolId, teamId));
    if (!known) return 0;
    return known.credit * Math.exp(-(nowMs - known.updatedMs) / CREDIT_TIME_MS);
  }

  /** Drops credits that have decayed, and returns the others as of now. */
  current(nowMs: number): readonly TeamCredit[] {
    this.credits.forEach(({ poolId, teamId }, key) => {
      if (this.creditOf(poolId, teamId, nowMs) < MIN_CREDIT) this.credits.delete(key);
    });
    return [...this.credits.values()].map(({ poolId, teamId }) => ({
      poolId,
      teamId,
      credit: this.creditOf(poolId, teamId, nowMs),
    }));
  }

  /** Continues from the credits that another process had at the given time. */
  restore(credits: readonly TeamCredit[], atMs: number): void {
    credits.forEach((credit) => this.set({ ...credit, updatedMs: atMs }));
  }

  private set(credit: Credit): void {
    const bounded = { ...credit, credit: Math.min(MAX_CREDIT, credit.credit) };
    this.credits.set(FairShares.keyOf(credit.poolId, credit.teamId), bounded);
  }

  private static portions({
    holdings,
    waitingTeamIds,
    weightOf,
  }: SharePass): (teamId: string) => number {
    const weight = (teamId: string): number => Math.max(MIN_WEIGHT, weightOf(teamId));
    const active = new Set([...holdings.byTeam.keys(), ...waitingTeamIds]);
    const total = [...active].reduce((sum, teamId) => sum + weight(teamId), 0);
    return (teamId) => weight(teamId) / Math.max(MIN_WEIGHT, total);
  }

  private static keyOf(poolId: string, teamId: string): string {
    return JSON.stringify([poolId, teamId]);
  }
}
