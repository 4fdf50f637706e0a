/** Exponential backoff with full jitter, bounded from both sides. */
import { type Random } from './Random.js';

export interface BackoffOptions {
  readonly firstMs: number;
  readonly mostMs: number;
}

export class Backoff {
  private failures = 0;

  constructor(
    private readonly options: BackoffOptions,
    private readonly random: Random,
  ) {}

  /** The delay before the next try, in milliseconds. Each call doubles the range. */
  nextMs(): number {
    const ceilingMs = Math.min(this.options.mostMs, this.options.firstMs * 2 ** this.failures);
    this.failures += 1;
    return ceilingMs / 2 + (this.random.next() * ceilingMs) / 2;
  }

  /** Starts over after a success. */
  reset(): void {
    this.failures = 0;
  }
}
