/**
 * Journal record of the turns that the pools have taken and of their sizes, so that a new owner
 * forecasts the next turn at once and doesn't have to observe two turns of every pool first.
 */
import { encodeFitting } from '@acaciadock/journal';
import { type PoolMemory, type PoolSizer, type TurnForecast } from '@acaciadock/placement';
import { type Clock } from '@acaciadock/core';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';

/** Journal key of the record. */
export const TURNS_KEY = 'turns';

const turnRecordSchema = z.object({
  turns: z.array(z.object({ poolId: z.string(), startUnixMs: z.number() })),
  pools: z.array(
    z.object({
      poolId: z.string(),
      turnPeak: z.number(),
      initialCount: z.number(),
      startNeed: z.number().optional(),
      // Owners of earlier builds don't write it.
      sustainedNeed: z.number().optional(),
    }),
  ),
});

export interface TurnRecordFailure {
  readonly kind: 'turns-unreadable';
  readonly detail: string;
}

export class TurnRecord {
  static encode(forecast: TurnForecast, sizer: PoolSizer, clock: Clock): Buffer {
    const bootUnixMs = clock.unixMs() - clock.monotonicMs();
    const turns = forecast.recorded.map(({ poolId, startMs }) => ({
      poolId,
      startUnixMs: Math.round(bootUnixMs + startMs),
    }));
    const pools: readonly PoolMemory[] = sizer.memories;
    // If there are more than fit, the oldest turns are left out first.
    const entries = [
      ...pools.map((pool) => ({ pool, turn: undefined })),
      ...turns.reverse().map((turn) => ({ pool: undefined, turn })),
    ];
    return encodeFitting(entries, (kept) => ({
      turns: kept.flatMap(({ turn }) => turn ?? []).reverse(),
      pools: kept.flatMap(({ pool }) => pool ?? []),
    }));
  }

  /** Restores both from the record. The wall clocks of two owners differ by little against a turn. */
  static restore(
    value: Buffer,
    forecast: TurnForecast,
    sizer: PoolSizer,
    clock: Clock,
  ): Result<void, TurnRecordFailure> {
    const parsed = turnRecordSchema.safeParse(TurnRecord.parse(value));
    if (!parsed.success) {
      return err({ kind: 'turns-unreadable', detail: z.prettifyError(parsed.error) });
    }
    const bootUnixMs = clock.unixMs() - clock.monotonicMs();
    forecast.restore(
      parsed.data.turns.map(({ poolId, startUnixMs }) => ({
        poolId,
        startMs: startUnixMs - bootUnixMs,
      })),
    );
    sizer.restore(parsed.data.pools);
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
