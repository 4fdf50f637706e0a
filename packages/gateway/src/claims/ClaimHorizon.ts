/**
 * Decides whether the claims still cover a keyed request, by the time at which its caller first
 * sent it. A caller's clock may be ahead by `maxAheadMs`, so a claim is appended no earlier than
 * that time minus `maxAheadMs`, and the log retains it at least until that time plus `retentionMs`
 * minus `maxAheadMs`. A repeat is accepted only until `marginMs` before that.
 */
import { type Clock } from '@acaciadock/core';

export interface ClaimHorizonOptions {
  /** How long the log keeps records, in milliseconds. */
  readonly retentionMs: number;
  /** Safety margin before the end of retention, for clock differences and requests in flight. */
  readonly marginMs: number;
  /** How far a caller's clock may be ahead, in milliseconds. */
  readonly maxAheadMs: number;
}

const MAX_RETENTION_MS = 60 * 60 * 1_000;
const MARGIN_MS = 30 * 1_000;
const MAX_AHEAD_MS = 15 * 1_000;

/**
 * The options for a log that retains records for `logRetentionMs`. Claims are held in memory, so
 * they are used for at most one hour even if the log retains them longer.
 */
export function claimHorizonOptionsFor(logRetentionMs: number): ClaimHorizonOptions {
  const retentionMs = Math.min(logRetentionMs, MAX_RETENTION_MS);
  return { retentionMs, marginMs: MARGIN_MS, maxAheadMs: MAX_AHEAD_MS };
}

export type FirstSentVerdict = 'within' | 'too-old' | 'too-far-ahead';

export class ClaimHorizon {
  constructor(
    private readonly options: ClaimHorizonOptions,
    private readonly clock: Clock,
  ) {}

  /** Maximum age of a request since its caller first sent it, in milliseconds. */
  get horizonMs(): number {
    const { retentionMs, marginMs, maxAheadMs } = this.options;
    return Math.max(0, retentionMs - marginMs - maxAheadMs);
  }

  /** Records appended before this time, in Unix milliseconds, can be forgotten. */
  get forgetBeforeMs(): number {
    return this.clock.unixMs() - this.options.retentionMs;
  }

  classify(firstSentAtMs: number): FirstSentVerdict {
    const ageMs = this.clock.unixMs() - firstSentAtMs;
    if (ageMs > this.horizonMs) return 'too-old';
    if (-ageMs > this.options.maxAheadMs) return 'too-far-ahead';
    return 'within';
  }
}
