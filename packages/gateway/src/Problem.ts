/**
 * Every way a request can end without an answer, as told to the caller in
 * `application/problem+json` (RFC 9457). `executed` says whether the work ran.
 */
import { type Executed } from '@acaciadock/core';

export type ProblemType =
  | 'malformed-request'
  | 'request-too-large'
  | 'unknown-service'
  | 'key-missing'
  | 'key-not-valid'
  | 'not-ready'
  | 'queue-full'
  | 'deadline-unreachable'
  | 'no-target-fits'
  | 'team-limit-zero'
  | 'retry-budget-spent'
  | 'log-unavailable'
  | 'already-accepted'
  | 'claim-expired'
  | 'target-failed'
  | 'targets-unreachable'
  | 'answer-incomplete'
  | 'answer-too-large'
  | 'deadline-exceeded'
  | 'cancelled'
  | 'internal';

export interface Problem {
  readonly type: ProblemType;
  readonly statusCode: number;
  readonly executed: Executed;
  readonly detail: string;
  readonly retryAfterMs?: number;
}
