/** Maps the reasons for which a home refuses a ticket to the problems that callers get. */
import { type TicketRefusalReason, type TicketRefused } from '@acaciadock/peers';
import { type Problem, type ProblemType } from './Problem.js';

const TYPES: Readonly<Record<TicketRefusalReason, ProblemType>> = {
  'queue-full': 'queue-full',
  'deadline-unreachable': 'deadline-unreachable',
  'no-target-fits': 'no-target-fits',
  'team-limit-zero': 'team-limit-zero',
  'retry-budget-spent': 'retry-budget-spent',
  fenced: 'not-ready',
  stopping: 'not-ready',
};

export function refusalProblem({ reason, retryAfterMs }: TicketRefused): Omit<Problem, 'executed'> {
  return { type: TYPES[reason], detail: `no run was granted: ${reason}`, retryAfterMs };
}
