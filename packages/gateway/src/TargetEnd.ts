/**
 * Every way in which a call to a target can end. For each one, whether the work ran, what is
 * reported to the home of the service and to the caller, and whether a retry makes sense.
 */
import { type GrantOutcome } from '@acaciadock/peers';
import { type Problem, type ProblemType } from './Problem.js';
import { type AttemptVerdict } from './RequestState.js';

/** Why a granted run was not sent. */
export type SendBlock =
  'start-by-passed' | 'fenced' | 'key-withdrawn' | 'target-left' | 'request-ended';

export interface CompleteAnswer {
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: Buffer;
}

export type TargetEnd =
  /** The final check before the first byte blocked the send. */
  | { readonly kind: 'not-started'; readonly block: SendBlock }
  /** No connection could be made, so no byte was sent. */
  | { readonly kind: 'unreachable' }
  /** The target reported that it did not run the work, by the header `x-executed: no`. */
  | { readonly kind: 'refused' }
  | { readonly kind: 'answered'; readonly answer: CompleteAnswer }
  /** The target ran the work and it failed (5xx). */
  | { readonly kind: 'failed'; readonly statusCode: number }
  /** The target rejected the work (3xx or 4xx): another attempt would end the same way. */
  | { readonly kind: 'rejected'; readonly statusCode: number }
  /** The connection ended before the answer was complete, or completeness cannot be verified. */
  | { readonly kind: 'incomplete' }
  /** The answer does not echo the id of the request. */
  | { readonly kind: 'crossed' }
  /**
   * The answer exceeds the maximum size of the service. The call is aborted midway, so the target
   * may still work; the home frees the slot only when the lease expires.
   */
  | { readonly kind: 'too-large' }
  /** The lease expired before the target started to answer. */
  | { readonly kind: 'no-first-byte' }
  /** The answer started but stopped arriving, or was incomplete when the lease expired. */
  | { readonly kind: 'stalled' }
  /** The gateway aborted the call because the request ended for the caller. */
  | { readonly kind: 'aborted' };

export type TargetEndKind = TargetEnd['kind'];

interface EndInterpretation {
  readonly verdict: AttemptVerdict;
  /** Reported to the home; `unknown` keeps the slot in use until the lease expires. */
  readonly outcome: GrantOutcome;
  readonly problemType: ProblemType;
  readonly detail: string;
  /** Whether another attempt could succeed. */
  readonly retry: boolean;
}

const INTERPRETATIONS: Readonly<Record<TargetEndKind, EndInterpretation>> = {
  'not-started': {
    verdict: 'not-run',
    outcome: 'not-started',
    problemType: 'target-busy',
    detail: 'the granted run was not sent in time',
    retry: true,
  },
  unreachable: {
    verdict: 'not-run',
    outcome: 'unreachable',
    problemType: 'targets-unreachable',
    detail: 'no connection to a target could be made',
    retry: true,
  },
  refused: {
    verdict: 'not-run',
    outcome: 'target-refused',
    problemType: 'target-busy',
    detail: 'the target did not take the work',
    retry: true,
  },
  answered: {
    verdict: 'ran',
    outcome: 'succeeded',
    problemType: 'internal',
    detail: 'answered',
    retry: false,
  },
  failed: {
    verdict: 'ran',
    outcome: 'failed',
    problemType: 'target-failed',
    detail: 'the target answered that the work failed',
    retry: true,
  },
  rejected: {
    verdict: 'ran',
    outcome: 'succeeded',
    problemType: 'target-rejected',
    detail: 'the target answered that it rejects the work',
    retry: false,
  },
  incomplete: {
    verdict: 'ambiguous',
    outcome: 'unknown',
    problemType: 'answer-incomplete',
    detail: 'the answer did not arrive whole',
    retry: true,
  },
  crossed: {
    verdict: 'ambiguous',
    outcome: 'unknown',
    problemType: 'answer-crossed',
    detail: 'the answer named another request and was dropped',
    retry: true,
  },
  'too-large': {
    verdict: 'ran',
    outcome: 'unknown',
    problemType: 'answer-too-large',
    detail: 'the answer is larger than the service allows',
    retry: false,
  },
  'no-first-byte': {
    verdict: 'ambiguous',
    outcome: 'unknown',
    problemType: 'no-first-byte',
    detail: 'the target took the work and did not begin to answer',
    retry: true,
  },
  stalled: {
    verdict: 'ambiguous',
    outcome: 'unknown',
    problemType: 'answer-stalled',
    detail: 'the answer began and did not go on',
    retry: true,
  },
  aborted: {
    verdict: 'ambiguous',
    outcome: 'unknown',
    problemType: 'cancelled',
    detail: 'the caller went away while the work ran',
    retry: false,
  },
};

const BLOCK_PROBLEMS: Partial<Readonly<Record<SendBlock, ProblemType>>> = {
  fenced: 'not-ready',
  'key-withdrawn': 'key-not-valid',
};

/** Interprets an end: the verdict on the work, the outcome for the home and the problem. */
export function interpretEnd(end: TargetEnd): EndInterpretation {
  const interpretation = INTERPRETATIONS[end.kind];
  if (end.kind !== 'not-started') return interpretation;
  const problemType = BLOCK_PROBLEMS[end.block];
  if (!problemType) return interpretation;
  return { ...interpretation, problemType, detail: `not sent: ${end.block}`, retry: false };
}

/** The problem for an end, without `executed`, which only `RequestState` may determine. */
export function endProblem(end: TargetEnd): Omit<Problem, 'executed'> {
  const { problemType: type, detail } = interpretEnd(end);
  const status = 'statusCode' in end ? ` (${end.statusCode})` : '';
  return { type, detail: `${detail}${status}` };
}
