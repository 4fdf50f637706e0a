/** What a caller is told when the home refuses to grant a run. */
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

export function problemOfRefusal({
  reason,
  retryAfterMs,
}: TicketRefused): Omit<Problem, 'executed'> {
  return { type: TYPES[reason], detail: `no run was granted: ${reason}`, retryAfterMs };
}
