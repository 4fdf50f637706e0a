/**
 * A token bucket for appends, so that one entry never takes the log's part of the others.
 */
import { type Clock } from '@acaciadock/core';

export interface AppendBudgetOptions {
  readonly appendsPerSecond: number;
  /** Most appends that may be made at once after a quiet time. */
  readonly burstAppends: number;
}

const MS_PER_SECOND = 1_000;

export class AppendBudget {
  private tokens: number;

  private filledAtMs: number;

  constructor(
    private readonly options: AppendBudgetOptions,
    private readonly clock: Clock,
  ) {
    this.tokens = options.burstAppends;
    this.filledAtMs = clock.monotonicMs();
  }

  /** Takes one append; returns 0, or the milliseconds until the next may be made. */
  tryTake(): number {
    const { appendsPerSecond, burstAppends } = this.options;
    const nowMs = this.clock.monotonicMs();
    const gained = ((nowMs - this.filledAtMs) * appendsPerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(burstAppends, this.tokens + gained);
    this.filledAtMs = nowMs;
    if (this.tokens >= 1) {
      this.tokens -= 1;
      return 0;
    }
    return Math.ceil(((1 - this.tokens) * MS_PER_SECOND) / appendsPerSecond);
  }
}
