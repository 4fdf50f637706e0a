/**
 * Whether the caller's time of a keyed request lies where the claims can still tell. A claim is
 * appended after its caller's time less the allowed lead, so the log holds it until that time
 * plus retention less lead; a repeat is taken only up to a margin before that.
 */
import { type Clock } from '@acaciadock/core';

export interface ClaimHorizonOptions {
  /** How long the log keeps records, in milliseconds. */
  readonly retentionMs: number;
  /** What is kept clear of retention: clocks that differ, and requests under way. */
  readonly marginMs: number;
  /** How far a caller's clock may be ahead. */
  readonly mostAheadMs: number;
}

const MOST_RETENTION_MS = 60 * 60 * 1_000;
const MARGIN_MS = 30 * 1_000;
const MOST_AHEAD_MS = 15 * 1_000;

/**
 * The horizon over a log that keeps records for `logRetentionMs`. Claims are remembered in
 * memory, so that they are used for an hour at most however long the log keeps them.
 */
export function claimHorizonFor(logRetentionMs: number): ClaimHorizonOptions {
  const retentionMs = Math.min(logRetentionMs, MOST_RETENTION_MS);
  return { retentionMs, marginMs: MARGIN_MS, mostAheadMs: MOST_AHEAD_MS };
}

export type StampVerdict = 'within' | 'too-old' | 'too-far-ahead';

export class ClaimHorizon {
  constructor(
    private readonly options: ClaimHorizonOptions,
    private readonly clock: Clock,
  ) {}

  /** Longest age of a caller's time, in milliseconds. */
  get horizonMs(): number {
    const { retentionMs, marginMs, mostAheadMs } = this.options;
    return Math.max(0, retentionMs - marginMs - mostAheadMs);
  }

  /** Records from before this instant need not be remembered. */
  get forgetBeforeMs(): number {
    return this.clock.unixMs() - this.options.retentionMs;
  }

  judge(stampMs: number): StampVerdict {
    const ageMs = this.clock.unixMs() - stampMs;
    if (ageMs > this.horizonMs) return 'too-old';
    if (-ageMs > this.options.mostAheadMs) return 'too-far-ahead';
    return 'within';
  }
}
