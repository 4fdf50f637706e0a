import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { DemandSmoother } from './DemandSmoother.js';

const MEAN_SLOTS = 10;
const BURST_MS = 5_000;
const STEP_MS = 500;

/** Five times the mean for five seconds, a twentieth in between, so that the mean holds. */
const BURST_EVERY_MS = (BURST_MS * (5 - 0.05)) / (1 - 0.05);

function slotsAt(atMs: number): number {
  return atMs % BURST_EVERY_MS < BURST_MS ? 5 * MEAN_SLOTS : MEAN_SLOTS / 20;
}

describe('DemandSmoother', () => {
  it('does not chase bursts of seconds', (t) => {
    const clock = new ManualClock();
    const smoother = new DemandSmoother(clock);
    let least = Number.POSITIVE_INFINITY;
    let most = 0;
    const hourMs = 3_600_000;
    while (clock.monotonicMs() < hourMs) {
      clock.advance(STEP_MS);
      smoother.observe('s', slotsAt(clock.monotonicMs()));
      const demand = smoother.demand().get('s') ?? MEAN_SLOTS;
      const isSettled = clock.monotonicMs() > hourMs / 2;
      if (isSettled) {
        least = Math.min(least, demand);
        most = Math.max(most, demand);
      }
    }
    t.ok(least > 0.9 * MEAN_SLOTS, `least ${least}`);
    t.ok(most < 1.1 * MEAN_SLOTS, `most ${most}`);
  });

  it('follows a change that lasts', (t) => {
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
