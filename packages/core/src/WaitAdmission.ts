/**
 * Admission by predicted wait, for queues of requests and of jobs alike. The prediction uses a fluid
 * model: the work ahead is served at a constant rate.
 */

export type AdmissionDecision =
  { readonly kind: 'admitted' } | { readonly kind: 'late'; readonly retryAfterMs: number };

export interface RetryBounds {
  readonly minMs: number;
  readonly maxMs: number;
}

/** Time until the work ahead is served at the rate, in milliseconds; infinite without a rate. */
export function fluidWaitMs(aheadMs: number, rate: number): number {
  return rate > 0 ? aheadMs / rate : Number.POSITIVE_INFINITY;
}

/** Admits work that waits for at most its budget; otherwise it may return once the excess is over. */
export function admitWithin(
  waitMs: number,
  budgetMs: number,
  retry: RetryBounds,
): AdmissionDecision {
  if (waitMs <= budgetMs) return { kind: 'admitted' };
  const excessMs = Math.ceil(waitMs - Math.max(0, budgetMs));
  return { kind: 'late', retryAfterMs: Math.min(retry.maxMs, Math.max(retry.minMs, excessMs)) };
}
