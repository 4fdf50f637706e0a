/** Durations of the ledger. */
import { MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';

/** How long a gateway may take from the grant to the send. */
const START_WINDOW_MS = 1_000;

/** Two monotonic clocks differ by no more than this part of the time that passes. */
const MAX_CLOCK_DRIFT_RATIO = 0.01;

export interface CreditTiming {
  /** How long a fence proof lasts. */
  readonly fenceMs: number;
  readonly startWindowMs: number;
  readonly clockSkewMs: number;
  /** A record that was not read back is offered again after this time. */
  readonly repeatRecordMs: number;
  /** Each further member in rank waits this much longer before it writes what any may write. */
  readonly staggerMs: number;
  /** Most peers that are asked for credits in one round. */
  readonly askFanOut: number;
}

export const DEFAULT_CREDIT_TIMING: CreditTiming = {
  fenceMs: 3_000,
  startWindowMs: START_WINDOW_MS,
  clockSkewMs: MAX_CLOCK_SKEW_MS,
  repeatRecordMs: 1_000,
  staggerMs: 500,
  askFanOut: 8,
};

/**
 * How long after reading that a member is closed its credits may still have work running: its
 * fence must fall, its last grant must be used or lapse, and the longest task must run out.
 */
export function closingWaitMs(timing: CreditTiming, longestLeaseMs: number): number {
  const { fenceMs, startWindowMs, clockSkewMs } = timing;
  const waitMs = fenceMs + startWindowMs + longestLeaseMs + clockSkewMs;
  return waitMs * (1 + MAX_CLOCK_DRIFT_RATIO);
}
