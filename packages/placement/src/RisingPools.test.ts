/** Tests when a pool counts as rising towards its first turn. */
import { describe, it } from '@acaciadock/core/testing';
import { RisingPools } from './RisingPools.js';

const STEP_MS = 100;

function observe(
  rising: RisingPools,
  arrivals: Readonly<Record<string, number>>,
  fromMs: number,
  toMs: number,
): void {
  const pools = Object.entries(arrivals).map(([poolId, cpuMilli]) => ({ poolId, cpuMilli }));
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += STEP_MS) rising.observe(pools, nowMs);
}

describe('RisingPools', () => {
  it('notices a rise beside the fading turn of another pool', (t) => {
    // Fails if a pool must dominate the arrivals, which it does only once the other turn is over.
    const rising = new RisingPools();
    observe(rising, { a: 100, b: 2 }, 0, 3_000);
    observe(rising, { a: 60, b: 30 }, 3_100, 3_400);
    t.ok(rising.isRising('b', 3_400));
  });

  it('does not take the usual work of a quiet pool for a rise', (t) => {
    const rising = new RisingPools();
    observe(rising, { a: 100, b: 10 }, 0, 3_000);
    t.notOk(rising.isRising('b', 3_000));
  });

  it('does not take a single job in a quiet moment for a rise', (t) => {
    const rising = new RisingPools();
    observe(rising, { a: 100, b: 2 }, 0, 3_000);
    observe(rising, { a: 1, b: 10 }, 3_100, 4_000);
    t.notOk(rising.isRising('b', 4_000));
  });

  it('does not take a burst of a moment for a rise', (t) => {
    const rising = new RisingPools();
    observe(rising, { a: 100, b: 2 }, 0, 3_000);
    observe(rising, { a: 100, b: 90 }, 3_100, 3_200);
    observe(rising, { a: 100, b: 2 }, 3_300, 3_700);
    t.notOk(rising.isRising('b', 3_700));
  });

  it('gives a rise up that does not become a turn', (t) => {
    const rising = new RisingPools();
    observe(rising, { a: 100, b: 2 }, 0, 3_000);
    observe(rising, { a: 100, b: 40 }, 3_100, 6_000);
    t.notOk(rising.isRising('b', 6_000));
  });
});
