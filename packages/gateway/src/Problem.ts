/**
 * Every way in which a request can end without an answer, as reported to the caller in
 * `application/problem+json` (RFC 9457). `executed` states whether the work ran. The table below
 * is complete; docs/operators/errors.md explains each type.
 */
import { type Executed } from '@acaciadock/core';

interface ProblemKind {
  readonly statusCode: number;
  readonly title: string;
}

export const PROBLEM_KINDS = {
  'malformed-request': { statusCode: 400, title: 'The request is malformed' },
  'idempotency-time-missing': { statusCode: 400, title: 'x-idempotency-time is needed' },
  'idempotency-time-ahead': { statusCode: 400, title: 'x-idempotency-time lies in the future' },
  'key-missing': { statusCode: 401, title: 'A bearer key is needed' },
  'key-not-valid': { statusCode: 401, title: 'The key is not valid' },
  'unknown-service': { statusCode: 404, title: 'There is no such service' },
  'method-not-allowed': { statusCode: 405, title: 'Requests are sent with POST' },
  'request-timeout': { statusCode: 408, title: 'The request arrived too slowly' },
  'already-accepted': { statusCode: 409, title: 'A request with this key was accepted before' },
  'claim-expired': { statusCode: 410, title: 'The key is too old to tell whether it ran' },
  'request-too-large': { statusCode: 413, title: 'The body is too large' },
  'expectation-failed': { statusCode: 417, title: 'The expectation is not supported' },
  'idempotency-key-reused': { statusCode: 422, title: 'The key came with another request' },
  'target-rejected': { statusCode: 422, title: 'The target rejected the work' },
  'headers-too-large': { statusCode: 431, title: 'The headers are too large' },
  cancelled: { statusCode: 499, title: 'The caller went away' },
  internal: { statusCode: 500, title: 'Unexpected failure' },
  'target-failed': { statusCode: 502, title: 'The work failed on the target' },
  'answer-incomplete': { statusCode: 502, title: 'The answer was cut' },
  'answer-crossed': { statusCode: 502, title: 'The answer names another request' },
  'answer-too-large': { statusCode: 502, title: 'The answer is larger than the service allows' },
  'not-ready': { statusCode: 503, title: 'The entry takes no work now' },
  'entry-overloaded': { statusCode: 503, title: 'The entry is out of memory for bodies' },
  'queue-full': { statusCode: 503, title: 'The queue of the team is full' },
  'deadline-unreachable': { statusCode: 503, title: 'The work could not start in time' },
  'no-target-fits': { statusCode: 503, title: 'No target can run this work' },
  'team-limit-zero': { statusCode: 503, title: 'The team may run nothing' },
  'retry-budget-spent': { statusCode: 503, title: 'The service has no retries left' },
  'log-unavailable': { statusCode: 503, title: 'The claim could not be recorded' },
  'target-busy': { statusCode: 503, title: 'The targets refused the work' },
  'targets-unreachable': { statusCode: 503, title: 'No target could be reached' },
  'queue-timeout': { statusCode: 504, title: 'The deadline passed in the queue' },
  'no-first-byte': { statusCode: 504, title: 'The target did not begin to answer' },
  'answer-stalled': { statusCode: 504, title: 'The answer stopped midway' },
} as const satisfies Readonly<Record<string, ProblemKind>>;

export type ProblemType = keyof typeof PROBLEM_KINDS;

export const PROBLEM_TYPES = Object.keys(PROBLEM_KINDS) as readonly ProblemType[];

const URN_PREFIX = 'urn:acaciadock:problem:';

export interface Problem {
  readonly type: ProblemType;
  readonly executed: Executed;
  readonly detail: string;
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** The body of an `application/problem+json` answer. */
export interface ProblemBody {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly executed: Executed;
  readonly requestId: string;
}

/** Creates a problem for a request that is refused before it is accepted, so nothing ran. */
export function refusal(type: ProblemType, detail: string, retryAfterMs?: number): Problem {
  return { type, executed: 'no', detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}

/** Converts a problem to the body that is sent to the caller. */
export function problemBody(problem: Problem, requestId: string): ProblemBody {
  const { statusCode, title } = PROBLEM_KINDS[problem.type];
  const { detail, executed } = problem;
  const type = `${URN_PREFIX}${problem.type}`;
  return { type, title, status: statusCode, detail, executed, requestId };
}
