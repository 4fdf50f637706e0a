/**
 * Plays the start of a pool's turn on a fleet of hundreds: work for most of the fleet arrives at a
 * pool that has few instances. Checks how long the callers wait.
 */
import { describe, it } from '@acaciadock/core/testing';
import { createWorld } from './testing/takeoverHelpers.js';

const SPARE_COUNT = 160;
const ORDERS_PER_S = 215;
const RUNTIME_MS = 400;

/** One move, in milliseconds. */
const MOVE_MS = 1_500;

/** Notice of the need, the last instance's registration and the run itself, in milliseconds. */
const SLACK_MS = 1_000;

/** Time after which a pool without work has parked what it doesn't keep, in milliseconds. */
const IDLE_MS = 6_000;

describe('the start of a turn on a fleet of hundreds', () => {
  it('lets callers wait for one move and the orders at the rate that the platform accepts', async (t) => {
    // Fails if a fixed number of orders is sent in each round, however many the platform accepts.
    const world = await createWorld({
      targetCount: 0,
      instanceCount: 4,
      spareCount: SPARE_COUNT,
      ordersPerS: ORDERS_PER_S,
      runtimeMs: RUNTIME_MS,
    });
    const startedMs = world.clock.monotonicMs();
    // Each job fills an instance.
    for (let job = 0; job < SPARE_COUNT; job += 1) {
      void world.submit(`j${job}`, { steps: [{ taskCount: 4, cpuMilli: 1_000 }] });
    }
    const areStarted = (): boolean =>
      Array.from({ length: SPARE_COUNT }, (_, job) =>
        world.observer.startsOf(`j${job}.0.0.0`),
      ).every((starts) => starts > 0);
    await world.runUntil(areStarted, 10_000);
    const tookMs = world.clock.monotonicMs() - startedMs;
    const maxMs = MOVE_MS + (SPARE_COUNT / ORDERS_PER_S) * 1_000 + SLACK_MS;
    t.ok(tookMs <= maxMs, `the last start after ${Math.round(tookMs)} ms, at most ${maxMs}`);
    t.same(world.observer.broken, []);
  });

  it('parks all instances of the pool once its turn is over', async (t) => {
    // Fails if spare instances count among those that are to be parked: with more of them than may be
    // ordered in a round, no idle instance was ever parked.
    const world = await createWorld({
      targetCount: 0,
      instanceCount: 100,
      spareCount: SPARE_COUNT,
      ordersPerS: ORDERS_PER_S,
      runtimeMs: RUNTIME_MS,
    });
    void world.submit('j', { steps: [{ taskCount: 1, cpuMilli: 1_000 }] });
    await world.run(IDLE_MS);
    const parked = world.fleet?.countIn('spare') ?? 0;
    t.ok(parked >= SPARE_COUNT + 100 / 2, `${parked} parked`);
  });
});
