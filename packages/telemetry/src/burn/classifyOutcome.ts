/**
 * Decides which outcomes count against a service's objectives. Errors of the caller (a wrong key, a
 * malformed request, a closed connection) do not count; every other request that was not answered
 * does, including requests refused under overload.
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

/** Classifies an outcome by the service's latency objective, which is in milliseconds. */
export function classifyOutcome(outcome: RequestOutcome, latencyObjectiveMs: number): OutcomeClass {
  if (outcome.ok) return outcome.totalMs <= latencyObjectiveMs ? 'good' : 'slow';
  if (CALLER_FAULTS.has(outcome.problemType ?? '')) return 'not-counted';
  return 'bad';
}
