/** Token bucket that limits the append rate of one entry, so that it can't starve the others. */
import { type Clock } from '@acaciadock/core';

export interface AppendBudgetOptions {
  readonly appendsPerSecond: number;
  /** Capacity of the bucket: the largest burst of appends after an idle period. */
  readonly burstAppends: number;
}

const MS_PER_SECOND = 1_000;

export class AppendBudget {
  private tokens: number;

  private refilledAtMs: number;

  constructor(
    private readonly options: AppendBudgetOptions,
    private readonly clock: Clock,
  ) {
    this.tokens = options.burstAppends;
    this.refilledAtMs = clock.monotonicMs();
  }

  /** Takes a token; returns 0 on success, otherwise the milliseconds until one is available. */
  tryTake(): number {
    const { appendsPerSecond, burstAppends } = this.options;
    const nowMs = this.clock.monotonicMs();
    const gained = ((nowMs - this.refilledAtMs) * appendsPerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(burstAppends, this.tokens + gained);
    this.refilledAtMs = nowMs;
    if (this.tokens >= 1) {
      this.tokens -= 1;
      return 0;
    }
    return Math.ceil(((1 - this.tokens) * MS_PER_SECOND) / appendsPerSecond);
  }
}
