/**
 * Journal record of the fairness credits of teams, so that a new owner doesn't deny the same teams
 * again. If it is lost, credits start from zero, and so do the smallest ones if there are more than fit.
 */
import { type Clock } from '@acaciadock/core';
import { encodeFitting } from '@acaciadock/journal';
import { type FairShares } from '@acaciadock/placement';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';

/** Journal key of the record. */
export const SHARES_KEY = 'shares';

const shareRecordSchema = z.object({
  unixMs: z.number(),
  credits: z.array(
    z.object({ poolId: z.string(), teamId: z.string(), credit: z.number().nonnegative() }),
  ),
});

export interface ShareRecordFailure {
  readonly kind: 'shares-unreadable';
  readonly detail: string;
}

export class ShareRecord {
  static encode(shares: FairShares, clock: Clock): Buffer {
    const unixMs = Math.round(clock.unixMs());
    const largestFirst = [...shares.current(clock.monotonicMs())].sort(
      (one, other) => other.credit - one.credit,
    );
    return encodeFitting(largestFirst, (credits) => ({ unixMs, credits }));
  }

  /** Restores the credits; they have decayed since the record was written. */
  static restore(
    value: Buffer,
    shares: FairShares,
    clock: Clock,
  ): Result<void, ShareRecordFailure> {
    const parsed = shareRecordSchema.safeParse(ShareRecord.parse(value));
    if (!parsed.success) {
      return err({ kind: 'shares-unreadable', detail: z.prettifyError(parsed.error) });
    }
    const { unixMs, credits } = parsed.data;
    const ageMs = Math.max(0, clock.unixMs() - unixMs);
    shares.restore(credits, clock.monotonicMs() - ageMs);
    return ok(undefined);
  }

  private static parse(value: Buffer): unknown {
    try {
      return JSON.parse(value.toString('utf8'));
    } catch {
      return undefined;
    }
  }
}
