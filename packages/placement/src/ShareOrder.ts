/**
 * Orders the waiting steps of one class (priority and urgency) by the weighted dominant shares of
 * their teams: dominant resource fairness (Ghodsi et al., 2011) by progressive filling. The team
 * with the smallest share is next, and its share grows by what its step needs. A team's own steps
 * keep their order.
 */
import { type Resources, ResourceVector } from './ResourceVector.js';

/** What a waiting step needs, and for which team. */
export interface ShareClaim {
  readonly teamId: string;
  readonly amount: Resources;
  readonly taskCount: number;
}

export interface PoolHoldings {
  readonly capacity: Resources;
  /** What the runs of each team hold in the pool. */
  readonly byTeam: ReadonlyMap<string, Resources>;
}

export interface ShareOrderInput {
  readonly holdings: PoolHoldings;
  /** Part of the pool that a team's weight entitles it to among the teams that want work. */
  readonly portionOf: (teamId: string) => number;
  readonly creditOf: (teamId: string) => number;
}

export class ShareOrder {
  private readonly sums = new Map<string, ResourceVector>();

  constructor(private readonly input: ShareOrderInput) {
    input.holdings.byTeam.forEach((held, teamId) => this.add(teamId, held));
  }

  /** Counts steps that keep their order as placed for the classes after them. */
  count<T>(steps: readonly T[], claimOf: (step: T) => ShareClaim): void {
    steps.map(claimOf).forEach(({ teamId, amount, taskCount }) => {
      this.add(teamId, amount, taskCount);
    });
  }

  /** Orders steps that are sorted by slack. They count as placed for the classes after this one. */
  order<T>(steps: readonly T[], claimOf: (step: T) => ShareClaim): T[] {
    const waiting = new Map<string, T[]>();
    // In reverse, so that the first step of a team is taken off the end of its list.
    steps.toReversed().forEach((step) => {
      const { teamId } = claimOf(step);
      const ofTeam = waiting.get(teamId) ?? [];
      ofTeam.push(step);
      waiting.set(teamId, ofTeam);
    });
    // In the order of slack, so that the least slack goes first among teams with equal shares.
    const teamIds = steps.map((step) => claimOf(step).teamId);
    const scores = new Map([...new Set(teamIds)].map((teamId) => [teamId, this.scoreOf(teamId)]));
    return steps.map(() => {
      const teamId = ShareOrder.smallest(scores);
      const ofTeam = waiting.get(teamId) ?? [];
      const next = ofTeam.pop() as T;
      const { amount, taskCount } = claimOf(next);
      this.add(teamId, amount, taskCount);
      if (ofTeam.length > 0) scores.set(teamId, this.scoreOf(teamId));
      else scores.delete(teamId);
      return next;
    });
  }

  private static smallest(scores: ReadonlyMap<string, number>): string {
    let smallest = '';
    let smallestScore = Infinity;
    scores.forEach((score, teamId) => {
      if (score >= smallestScore) return;
      smallest = teamId;
      smallestScore = score;
    });
    return smallest;
  }

  /** Weighted dominant share, 1 at the team's portion of the pool, less the team's credit. */
  private scoreOf(teamId: string): number {
    const share = this.sumOf(teamId).largestPartOf(this.input.holdings.capacity);
    return share / this.input.portionOf(teamId) - this.input.creditOf(teamId);
  }

  private sumOf(teamId: string): ResourceVector {
    return this.sums.get(teamId) ?? ResourceVector.ZERO;
  }

  private add(teamId: string, amount: Resources, factor = 1): void {
    this.sums.set(teamId, this.sumOf(teamId).plus(amount, factor));
  }
}
