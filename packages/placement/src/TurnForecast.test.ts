/** Learning the order and length of turns from arrivals. */
import { describe, it } from '@acaciadock/core/testing';
import { TurnForecast } from './TurnForecast.js';

const TURN_MS = 5_000;
const STEP_MS = 100;
const POOLS = ['a', 'b', 'c'];

function play(forecast: TurnForecast, untilMs: number): void {
  for (let nowMs = 0; nowMs < untilMs; nowMs += STEP_MS) {
    const hot = POOLS[Math.floor(nowMs / TURN_MS) % POOLS.length];
    forecast.observe(
      POOLS.map((poolId) => ({ poolId, cpuMilli: poolId === hot ? 1_000 : 50 })),
      nowMs,
    );
  }
}

describe('TurnForecast', () => {
  it('says nothing in the first round', (t) => {
    const forecast = new TurnForecast();
    play(forecast, 2.5 * TURN_MS);
    t.equal(forecast.currentPoolId, 'c');
    t.equal(forecast.next(2.5 * TURN_MS), undefined);
  });

  it('foresees the next turn in the second round', (t) => {
    const forecast = new TurnForecast();
    play(forecast, 3.5 * TURN_MS);
    const next = forecast.next(3.5 * TURN_MS);
    t.equal(next?.poolId, 'b');
    t.ok(Math.abs((next?.inMs ?? 0) - TURN_MS / 2) < 300);
  });

  it('gives up a turn that does not come', (t) => {
    const forecast = new TurnForecast();
    play(forecast, 3.5 * TURN_MS);
    t.equal(forecast.next(6 * TURN_MS), undefined);
  });

  it('does not take a swing between two busy pools for turns', (t) => {
    // Fails if each swing counts: then the pool of the last swing is foreseen again and again.
    const forecast = new TurnForecast();
    let nowMs = 0;
    const playHot = (poolId: string, durationMs: number): void => {
      for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += STEP_MS) {
        forecast.observe([{ poolId, cpuMilli: 1_000 }], nowMs);
      }
    };
    playHot('a', TURN_MS);
    playHot('b', 1_000);
    playHot('a', 1_000);
    playHot('b', TURN_MS);
    t.equal(forecast.currentPoolId, 'b');
    t.equal(forecast.next(nowMs), undefined, 'no pool has had two turns');
  });

  it('does not take a single burst for a turn', (t) => {
    const forecast = new TurnForecast();
    play(forecast, TURN_MS);
    forecast.observe([{ poolId: 'b', cpuMilli: 9_000 }], TURN_MS);
    forecast.observe([{ poolId: 'a', cpuMilli: 9_000 }], TURN_MS + STEP_MS);
    t.equal(forecast.currentPoolId, 'a');
  });
});
