/** Timeouts and intervals of the credit ledger. */
import { MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';

/**
 * Time within which a gateway must start sending a granted request. Must not be less than
 * `START_WINDOW_MS` of `GrantFactory` in the scheduling package, or credits would be redistributed
 * while a grant on them may still be used. `DrainLimits` in the maintenance package contains the
 * same time.
 */
const START_WINDOW_MS = 1_000;

/** Maximum relative drift between two monotonic clocks. */
const MAX_CLOCK_DRIFT_RATIO = 0.01;

export interface CreditTiming {
  /**
   * Validity of a proof of membership, without which a member may not start work. Must not be less
   * than `fenceMs` of `MembershipTiming`, which the fence of the member applies.
   */
  readonly fenceMs: number;
  readonly startWindowMs: number;
  readonly clockSkewMs: number;
  /** A record that has not been read back from the log is appended again after this time. */
  readonly recordRetryMs: number;
  /** Additional delay per rank before a member writes a record that any member could write. */
  readonly staggerMs: number;
  /** Maximum number of peers that are asked for credits in one round. */
  readonly demandFanOut: number;
}

export const DEFAULT_CREDIT_TIMING: CreditTiming = {
  fenceMs: 3_000,
  startWindowMs: START_WINDOW_MS,
  clockSkewMs: MAX_CLOCK_SKEW_MS,
  recordRetryMs: 1_000,
  staggerMs: 500,
  demandFanOut: 8,
};

/**
 * How long work may still run on a member's credits after its removal was read from the log: until
 * its fence proof expires, its last grant is used or expires, and the longest task lease ends.
 * Clock skew and drift are included.
 */
export function closingWaitMs(timing: CreditTiming, longestLeaseMs: number): number {
  const { fenceMs, startWindowMs, clockSkewMs } = timing;
  const waitMs = fenceMs + startWindowMs + longestLeaseMs + clockSkewMs;
  return waitMs * (1 + MAX_CLOCK_DRIFT_RATIO);
}
