/**
 * Every way one send to one target can end, with what each says of the work and what the home of
 * the service is told.
 */
import { type GrantOutcome } from '@acaciadock/peers';
import { type Problem, type ProblemType } from './Problem.js';
import { type AttemptVerdict } from './RequestState.js';

/** Why nothing was sent although a run was granted. */
export type SendBlock =
  'start-by-passed' | 'fenced' | 'key-withdrawn' | 'target-left' | 'request-ended';

export interface WholeAnswer {
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: Buffer;
}

export type TargetEnd =
  /** The last check before the first byte said no. */
  | { readonly kind: 'not-started'; readonly block: SendBlock }
  /** No connection was made: no byte left. */
  | { readonly kind: 'unreachable' }
  /** The target says that it did not run the work. */
  | { readonly kind: 'refused' }
  | { readonly kind: 'answered'; readonly answer: WholeAnswer }
  /** The target ran the work and it failed (5xx). */
  | { readonly kind: 'failed'; readonly statusCode: number }
  /** The target looked at the work and rejects it (4xx): another try would end alike. */
  | { readonly kind: 'rejected'; readonly statusCode: number }
  /** The connection ended before the answer was whole, or its end cannot be told. */
  | { readonly kind: 'incomplete' }
  | { readonly kind: 'crossed' }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'no-first-byte' }
  | { readonly kind: 'stalled' }
  /** The gateway gave the send up, because the caller did. */
  | { readonly kind: 'aborted' };

export type TargetEndKind = TargetEnd['kind'];

interface EndMeaning {
  readonly verdict: AttemptVerdict;
  readonly outcome: GrantOutcome;
  readonly problemType: ProblemType;
  readonly detail: string;
  /** Whether another attempt could end better. */
  readonly retry: boolean;
}

const MEANINGS: Readonly<Record<TargetEndKind, EndMeaning>> = {
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

/** What an end says of the work and to the home. */
export function meaningOf(end: TargetEnd): EndMeaning {
  const meaning = MEANINGS[end.kind];
  if (end.kind !== 'not-started') return meaning;
  const problemType = BLOCK_PROBLEMS[end.block];
  if (!problemType) return meaning;
  return { ...meaning, problemType, detail: `not sent: ${end.block}`, retry: false };
}

/** The problem without its verdict, which only the request's state may give. */
export function problemOf(end: TargetEnd): Omit<Problem, 'executed'> {
  const { problemType: type, detail } = meaningOf(end);
  const status = 'statusCode' in end ? ` (${end.statusCode})` : '';
  return { type, detail: `${detail}${status}` };
}
