/**
 * What counts against a service's objectives. Faults of the caller (a wrong key, a malformed
 * request, a hang-up) don't; everything that the service or this system failed to answer does,
 * refusals under overload included.
 */
import { type RequestOutcome } from '@acaciadock/core';

const CALLER_FAULTS: ReadonlySet<string> = new Set([
  'malformed-request',
  'idempotency-time-missing',
  'idempotency-time-ahead',
  'key-missing',
  'key-not-valid',
  'unknown-service',
  'method-not-allowed',
  'request-timeout',
  'already-accepted',
  'claim-expired',
  'request-too-large',
  'expectation-failed',
  'idempotency-key-reused',
  'target-rejected',
  'headers-too-large',
  'team-limit-zero',
  'cancelled',
]);

export type OutcomeClass = 'good' | 'slow' | 'bad' | 'not-counted';

/** The class of an outcome under the service's latency objective, in milliseconds. */
export function classifyOutcome(outcome: RequestOutcome, latencyObjectiveMs: number): OutcomeClass {
  if (outcome.ok) return outcome.totalMs <= latencyObjectiveMs ? 'good' : 'slow';
  if (CALLER_FAULTS.has(outcome.problemType ?? '')) return 'not-counted';
  return 'bad';
}
