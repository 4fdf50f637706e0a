/**
 * Bounds the load that retries add, per service: each first attempt earns a part of a retry, each
 * retry spends one. The reserve lets a quiet service retry at all. Source: the retry budgets of
 * Google's SRE book, chapter 22, as a token bucket.
 */
import { type ServiceId } from '@acaciadock/core';

const RESERVE_RETRIES = 10;

export class RetryBudget {
  private readonly tokens = new Map<ServiceId, number>();

  /** A first attempt of the service: earns `ratio` of a retry. */
  earn(serviceId: ServiceId, ratio: number): void {
    const held = this.tokens.get(serviceId) ?? RESERVE_RETRIES;
    this.tokens.set(serviceId, Math.min(RESERVE_RETRIES, held + ratio));
  }

  /** Takes one retry; false if the budget is used up. */
  trySpend(serviceId: ServiceId): boolean {
    const held = this.tokens.get(serviceId) ?? RESERVE_RETRIES;
    if (held < 1) return false;
    this.tokens.set(serviceId, held - 1);
    return true;
  }
}
