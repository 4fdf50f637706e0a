import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { DemandSmoother } from './DemandSmoother.js';

const MEAN_SLOTS = 10;
const BURST_MS = 5_000;
const STEP_MS = 500;

/** Period of bursts of 5 s at five times the mean and a twentieth of it in between. */
const BURST_EVERY_MS = (BURST_MS * (5 - 0.05)) / (1 - 0.05);

function slotsAt(atMs: number): number {
  return atMs % BURST_EVERY_MS < BURST_MS ? 5 * MEAN_SLOTS : MEAN_SLOTS / 20;
}

describe('DemandSmoother', () => {
  it('stays within 10 % of the mean during short bursts', (t) => {
    const clock = new ManualClock();
    const smoother = new DemandSmoother(clock);
    let minDemand = Number.POSITIVE_INFINITY;
    let maxDemand = 0;
    const hourMs = 3_600_000;
    while (clock.monotonicMs() < hourMs) {
      clock.advance(STEP_MS);
      smoother.observe('s', slotsAt(clock.monotonicMs()));
      const demand = smoother.demand().get('s') ?? MEAN_SLOTS;
      const isSettled = clock.monotonicMs() > hourMs / 2;
      if (isSettled) {
        minDemand = Math.min(minDemand, demand);
        maxDemand = Math.max(maxDemand, demand);
      }
    }
    t.ok(minDemand > 0.9 * MEAN_SLOTS, `minimum ${minDemand}`);
    t.ok(maxDemand < 1.1 * MEAN_SLOTS, `maximum ${maxDemand}`);
  });

  it('follows a lasting change of the demand', (t) => {
    const clock = new ManualClock();
    const smoother = new DemandSmoother(clock);
    smoother.observe('s', MEAN_SLOTS);
    clock.advance(3_600_000);
    smoother.observe('s', MEAN_SLOTS);
    clock.advance(3_600_000);
    smoother.observe('s', 3 * MEAN_SLOTS);
    t.ok((smoother.demand().get('s') ?? 0) > 2.8 * MEAN_SLOTS);
  });
});
