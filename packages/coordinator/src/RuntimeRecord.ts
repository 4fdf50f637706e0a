/**
 * Journals the runtimes learned for each queue, so that a new owner orders and sizes by them at once.
 * Declared runtimes are far off, and the first runs to end after a change of owner are the short ones.
 * If the record is lost, the runtimes are learned anew; so are those of the queues with the fewest runs if there
 * are more queues than fit.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { encodeFitting } from '@acaciadock/journal';
import { type RuntimeEstimates } from '@acaciadock/placement';
import * as z from 'zod';
import { type Ownership } from './Ownership.js';

/** Journal key of the record. */
export const RUNTIMES_KEY = 'runtimes';

/** Shortest interval between two records, in milliseconds. */
const JOURNAL_MS = 1_000;

const amountSchema = z.number().nonnegative();

const runtimesSchema = z.array(
  z.object({
    queueId: z.string(),
    meanMs: amountSchema,
    count: amountSchema,
    quantilesMs: z.array(amountSchema),
    soundRuns: amountSchema,
    longRuns: amountSchema,
  }),
);

export interface RuntimeRecordDeps {
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class RuntimeRecord {
  private journaledMs = -Infinity;

  private journaledCount = 0;

  constructor(
    private readonly estimates: RuntimeEstimates,
    private readonly deps: RuntimeRecordDeps,
  ) {}

  /** Restores the runtimes that a previous owner learned; returns false if the key is another one. */
  restore(key: string, value: Buffer): boolean {
    if (key !== RUNTIMES_KEY) return false;
    const parsed = runtimesSchema.safeParse(RuntimeRecord.parse(value));
    if (parsed.success) this.estimates.restore(parsed.data);
    else {
      const detail = z.prettifyError(parsed.error);
      this.deps.logger.warn('runtimes-unreadable', { kind: 'runtimes-unreadable', detail });
    }
    this.journaledCount = this.estimates.recordedCount;
    return true;
  }

  /** Journals the runtimes if runs have ended since the last record, at most once a second. */
  update(): void {
    const nowMs = this.deps.clock.monotonicMs();
    if (nowMs - this.journaledMs < JOURNAL_MS) return;
    const { recordedCount } = this.estimates;
    if (recordedCount === this.journaledCount) return;
    this.journaledMs = nowMs;
    this.journaledCount = recordedCount;
    void this.deps.ownership.writer.write(RUNTIMES_KEY, () => this.encode());
  }

  private encode(): Buffer {
    const rounded = this.estimates.memories.map((memory) => ({
      ...memory,
      meanMs: Math.round(memory.meanMs),
      soundRuns: Math.round(memory.soundRuns),
      longRuns: Math.round(memory.longRuns),
    }));
    return encodeFitting(rounded.sort((one, other) => other.count - one.count));
  }

  private static parse(value: Buffer): unknown {
    try {
      return JSON.parse(value.toString('utf8'));
    } catch {
      return undefined;
    }
  }
}
