/** One piece of work that the bench's callers want done, and all that they were told of it. */
import { type CallerAnswer } from '@acaciadock/scenarios';

/** How a caller asks for its work. */
export type JobKind =
  /** Idempotent: sent again when the connection is lost. */
  | 'idempotent'
  /** Non-idempotent with a key: sent again, and twice at once at times. */
  | 'keyed'
  /** Non-idempotent without a key: sent once, whatever comes. */
  | 'bare';

export interface Job {
  readonly name: string;
  readonly kind: JobKind;
  readonly answers: CallerAnswer[];
  /** The caller hung up itself. */
  hungUp: boolean;
  /** No end came at all, long after the deadline. */
  hangs: boolean;
}
