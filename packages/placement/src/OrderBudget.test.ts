/** Plays the orders of a turn at the rates of small and large fleets. */
import { describe, it } from '@acaciadock/core/testing';
import { OrderBudget } from './OrderBudget.js';

const ROUND_MS = 150;

/** Time until all orders are sent in rounds, in milliseconds; tracks the most sent in a second. */
function send(ordersPerS: number, count: number): { tookMs: number; maxPerS: number } {
  const budget = new OrderBudget(ordersPerS, 0);
  const sentMs: number[] = [];
  let nowMs = 0;
  for (; sentMs.length < count; nowMs += ROUND_MS) {
    const allowed = Math.min(budget.available(nowMs), count - sentMs.length);
    for (let order = 0; order < allowed; order += 1) {
      budget.spend();
      sentMs.push(nowMs);
    }
  }
  const perWindow = sentMs.map(
    (startMs) => sentMs.filter((atMs) => atMs >= startMs && atMs < startMs + 1_000).length,
  );
  return { tookMs: nowMs - ROUND_MS, maxPerS: Math.max(...perWindow) };
}

describe('OrderBudget', () => {
  [64, 215, 310].forEach((ordersPerS) => {
    it(`never exceeds ${ordersPerS} orders in a second`, (t) => {
      const { maxPerS } = send(ordersPerS, ordersPerS * 3);
      t.ok(maxPerS <= ordersPerS, `${maxPerS}`);
      t.end();
    });
  });

  it('orders a third of 400 instances within a second', (t) => {
    t.ok(send(310, 133).tookMs <= 1_000);
    t.end();
  });

  it('owes what was sent beyond it', (t) => {
    const budget = new OrderBudget(100, 0);
    const allowed = budget.available(0);
    for (let order = 0; order < allowed + 8; order += 1) budget.spend();
    t.equal(budget.available(50), 0);
    t.ok(budget.available(500) > 0);
    t.end();
  });
});
