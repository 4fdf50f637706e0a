/** One piece of work that a caller of the bench sends, and the answers to it. */
import { type CallerAnswer } from '@acaciadock/scenarios';

/** How a caller sends its work. */
export type JobKind =
  /** Idempotent: resent when the connection is lost. */
  | 'idempotent'
  /** Non-idempotent with a key: resent, and sometimes sent to two entries at once. */
  | 'keyed'
  /** Non-idempotent without a key: sent once and never resent. */
  | 'bare';

export interface Job {
  readonly name: string;
  readonly kind: JobKind;
  readonly answers: CallerAnswer[];
  /** The caller aborts a request on purpose, unless its answer comes first. */
  hungUp: boolean;
  /** A request had not ended long after its deadline, so the caller aborted it. */
  timedOut: boolean;
}
