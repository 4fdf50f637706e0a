/**
 * Bounds how many orders to instances may be sent at once, by a token bucket below the rate that the
 * platform accepts. It answers the start of a pool's turn, when a fleet of hundreds has to move a
 * third of its instances: those that are ordered late bring their capacity late, and orders beyond
 * the rate are refused.
 */

/** Fraction of the platform's rate that is used; the rest is left for orders of other callers. */
const USED_SHARE = 0.8;

/** Time in which unused orders accumulate, in milliseconds: somewhat longer than a round. */
const BURST_MS = 250;

const MS_PER_S = 1_000;

export class OrderBudget {
  private readonly ordersPerMs: number;

  private readonly maxOrders: number;

  private orders: number;

  private updatedMs: number;

  /** `ordersPerS` is the rate that the platform accepts. */
  constructor(ordersPerS: number, nowMs: number) {
    this.ordersPerMs = (ordersPerS * USED_SHARE) / MS_PER_S;
    this.maxOrders = Math.max(1, this.ordersPerMs * BURST_MS);
    this.orders = this.maxOrders;
    this.updatedMs = nowMs;
  }

  /** Number of orders that may be sent now. */
  available(nowMs: number): number {
    const earned = (nowMs - this.updatedMs) * this.ordersPerMs;
    this.orders = Math.min(this.maxOrders, this.orders + earned);
    this.updatedMs = nowMs;
    return Math.max(0, Math.floor(this.orders));
  }

  /** Records an order. One that can't wait may be sent beyond the budget, which then owes it. */
  spend(): void {
    this.orders -= 1;
  }
}
