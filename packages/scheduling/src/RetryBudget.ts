/**
 * Limits the retries of a service to a fraction of its first attempts. It is a token bucket: each
 * first attempt earns a fraction of a token and each retry spends one. During an outage, retries
 * therefore add at most that fraction to the load, however many requests fail.
 */
const MAX_TOKENS = 100;
const INITIAL_TOKENS = 10;

export class RetryBudget {
  private tokens = INITIAL_TOKENS;

  /** @param ratio tokens earned by a first attempt, in [0, 1] */
  constructor(public ratio: number) {}

  /** Counts a first attempt. */
  earn(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.ratio);
  }

  /** Spends a token for a retry; returns false if the retry is not allowed. */
  trySpend(): boolean {
    if (this.ratio === 0 || this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
