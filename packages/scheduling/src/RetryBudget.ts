/**
 * How many retries a service may have, as a part of its first attempts: a token bucket in which
 * each first attempt earns a part of a token and each retry spends one. In an outage retries then
 * add at most that part to the load, however many requests fail.
 */
const MOST_SAVED_TOKENS = 100;
const INITIAL_TOKENS = 10;

export class RetryBudget {
  private tokens = INITIAL_TOKENS;

  /** @param ratio tokens earned by a first attempt, in [0, 1] */
  constructor(public ratio: number) {}

  /** Counts a first attempt. */
  earn(): void {
    this.tokens = Math.min(MOST_SAVED_TOKENS, this.tokens + this.ratio);
  }

  /** Whether a retry may go ahead; if so it is paid for. */
  trySpend(): boolean {
    if (this.ratio === 0 || this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
