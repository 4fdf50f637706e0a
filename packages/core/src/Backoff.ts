/**
 * Exponential backoff with jitter: each delay is drawn from the upper half of a range that doubles
 * after every failed attempt, up to a maximum.
 */
import { type Random } from './Random.js';

export interface BackoffOptions {
  /** Upper end of the range of the first delay. */
  readonly firstMs: number;
  /** Upper end of the range of any delay. */
  readonly maxMs: number;
}

export class Backoff {
  private failures = 0;

  constructor(
    private readonly options: BackoffOptions,
    private readonly random: Random,
  ) {}

  /** The delay before the next attempt, in milliseconds. Each call doubles the range. */
  nextMs(): number {
    const ceilingMs = Math.min(this.options.maxMs, this.options.firstMs * 2 ** this.failures);
    this.failures += 1;
    return ceilingMs / 2 + (this.random.next() * ceilingMs) / 2;
  }

  /** Returns to the first range, after a successful attempt. */
  reset(): void {
    this.failures = 0;
  }
}
