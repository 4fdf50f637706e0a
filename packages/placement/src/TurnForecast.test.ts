/** Tests that the order and the length of turns are learned from arrivals. */
import { describe, it } from '@acaciadock/core/testing';
import { TurnForecast } from './TurnForecast.js';

const TURN_MS = 5_000;
const STEP_MS = 100;
const POOLS = ['a', 'b', 'c'];

function observeTurns(forecast: TurnForecast, untilMs: number): void {
  for (let nowMs = 0; nowMs < untilMs; nowMs += STEP_MS) {
    const dominant = POOLS[Math.floor(nowMs / TURN_MS) % POOLS.length];
    forecast.observe(
      POOLS.map((poolId) => ({ poolId, cpuMilli: poolId === dominant ? 1_000 : 50 })),
      nowMs,
    );
  }
}

describe('TurnForecast', () => {
  it('returns no forecast while a pool has not had any turn', (t) => {
    // A pool that was never busy may be next, so the order of the others says nothing.
    const forecast = new TurnForecast();
    observeTurns(forecast, 1.5 * TURN_MS);
    t.equal(forecast.currentPoolId, 'b');
    t.equal(forecast.next(1.5 * TURN_MS), undefined);
  });

  it('expects the pool that has waited the longest once each has had a turn', (t) => {
    // Without it, every pool is unprepared a second time, in the second round of turns.
    const forecast = new TurnForecast();
    observeTurns(forecast, 2.5 * TURN_MS);
    t.equal(forecast.currentPoolId, 'c');
    const next = forecast.next(2.5 * TURN_MS);
    t.equal(next?.poolId, 'a');
    t.ok(Math.abs((next?.inMs ?? 0) - TURN_MS / 2) < 300);
  });

  it('follows the order that was seen rather than the longest wait', (t) => {
    // In an order like a, b, a, c the pool that has waited the longest is not always next.
    const forecast = new TurnForecast();
    const order = ['a', 'b', 'a', 'c', 'a'];
    for (let nowMs = 0; nowMs < order.length * TURN_MS; nowMs += STEP_MS) {
      const dominant = order[Math.floor(nowMs / TURN_MS)];
      const arrivals = POOLS.map((poolId) => ({
        poolId,
        cpuMilli: poolId === dominant ? 900 : 50,
      }));
      forecast.observe(arrivals, nowMs);
    }
    t.equal(forecast.next(order.length * TURN_MS - STEP_MS)?.poolId, 'c');
  });

  it('forecasts the next turn once the first pool has begun its second', (t) => {
    const forecast = new TurnForecast();
    observeTurns(forecast, 3.5 * TURN_MS);
    const next = forecast.next(3.5 * TURN_MS);
    t.equal(next?.poolId, 'b');
    t.ok(Math.abs((next?.inMs ?? 0) - TURN_MS / 2) < 300);
  });

  it('expects a turn on time although the turns before it were noticed late', (t) => {
    // Without it, an outage at the start of one turn leaves the pools of the next ones unprepared.
    const forecast = new TurnForecast();
    const lateMs = [0, 300, 0, 3_000];
    for (let nowMs = 0; nowMs < 4 * TURN_MS; nowMs += STEP_MS) {
      const index = Math.floor(nowMs / TURN_MS);
      const isNoticed = nowMs - index * TURN_MS >= (lateMs[index] ?? 0);
      const dominant = isNoticed ? POOLS[index % POOLS.length] : undefined;
      forecast.observe(
        POOLS.map((poolId) => ({ poolId, cpuMilli: poolId === dominant ? 1_000 : 50 })),
        nowMs,
      );
    }
    const inMs = forecast.next(4 * TURN_MS)?.inMs ?? Infinity;
    t.ok(Math.abs(inMs) <= 1_000, `expected in ${inMs} ms`);
  });

  it('drops the forecast of a turn that does not begin', (t) => {
    const forecast = new TurnForecast();
    observeTurns(forecast, 3.5 * TURN_MS);
    t.equal(forecast.next(6 * TURN_MS), undefined);
  });

  it('does not record brief swings between two busy pools as turns', (t) => {
    // If each swing counted as a turn, the pool of the last swing would be forecast repeatedly.
    const forecast = new TurnForecast();
    let nowMs = 0;
    const observeDominant = (poolId: string, durationMs: number): void => {
      for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += STEP_MS) {
        forecast.observe([{ poolId, cpuMilli: 1_000 }], nowMs);
      }
    };
    observeDominant('a', TURN_MS);
    observeDominant('b', 1_000);
    observeDominant('a', 1_000);
    observeDominant('b', TURN_MS);
    t.equal(forecast.currentPoolId, 'b');
    t.equal(forecast.next(nowMs), undefined, 'no pool has had two turns');
  });

  it('counts a turn from its first moments if the one before it resumed for a moment', (t) => {
    // Few large jobs come unevenly, so a turn may seem to swing back and begin seconds late.
    const forecast = new TurnForecast();
    const dominantAt = (nowMs: number): string => {
      if (nowMs >= 3 * TURN_MS + 1_000 && nowMs < 3 * TURN_MS + 1_800) return 'c';
      return POOLS[Math.floor(nowMs / TURN_MS) % POOLS.length] ?? '';
    };
    for (let nowMs = 0; nowMs < 3.7 * TURN_MS; nowMs += STEP_MS) {
      const dominant = dominantAt(nowMs);
      forecast.observe(
        POOLS.map((poolId) => ({ poolId, cpuMilli: poolId === dominant ? 1_000 : 50 })),
        nowMs,
      );
    }
    t.equal(forecast.currentPoolId, 'a');
    t.equal(forecast.recorded.at(-1)?.startMs, 3 * TURN_MS);
  });

  it('does not record a single burst as a turn', (t) => {
    const forecast = new TurnForecast();
    observeTurns(forecast, TURN_MS);
    forecast.observe([{ poolId: 'b', cpuMilli: 9_000 }], TURN_MS);
    forecast.observe([{ poolId: 'a', cpuMilli: 9_000 }], TURN_MS + STEP_MS);
    t.equal(forecast.currentPoolId, 'a');
  });
});
