/** A team's credits as known to one entry, for reports to operators. */
import { type TeamId } from '@acaciadock/core';
import { type CreditLedger } from './CreditLedger.js';

export interface TeamCredits {
  readonly teamId: TeamId;
  readonly limit: number;
  /** Credits that this entry may use, in use or free. */
  readonly holding: number;
  /** Requests running on credits of this entry. */
  readonly running: number;
  /** Credits that still have to be burnt after the limit was lowered. */
  readonly debt: number;
  /** Credits of closed members that have not been redistributed yet. */
  readonly stranded: number;
}

export function teamCreditsOf(ledger: CreditLedger): readonly TeamCredits[] {
  return [...ledger.book.teams()].map(([teamId, book]) => ({
    teamId,
    limit: book.limit,
    holding: ledger.holding(teamId),
    running: ledger.running(teamId),
    debt: book.debt,
    stranded: ledger.book.stranded(teamId),
  }));
}
