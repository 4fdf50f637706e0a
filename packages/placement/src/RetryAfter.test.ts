/** Plays callers that arrive during outages and follow the delays they are given. */
import { describe, it } from '@acaciadock/core/testing';
import { RetryAfter } from './RetryAfter.js';

const TRIES = 5;
const ARRIVAL_PERIOD_MS = 50;

/** Time after which the caller's objective is out of reach, in milliseconds. */
const MAX_OVERSHOOT_MS = 3_000;

/** When a caller that arrives at `arrivalMs` is served; undefined if it runs out of tries. */
function servedMs(arrivalMs: number, outageMs: number): number | undefined {
  let nowMs = arrivalMs;
  for (let attempt = 1; attempt <= TRIES; attempt += 1) {
    if (nowMs >= outageMs) return nowMs;
    nowMs += RetryAfter.duringOutageMs(nowMs);
  }
  return undefined;
}

function arrivalsDuring(outageMs: number): number[] {
  return Array.from(
    { length: outageMs / ARRIVAL_PERIOD_MS },
    (_, index) => index * ARRIVAL_PERIOD_MS,
  );
}

describe('RetryAfter', () => {
  [2_000, 4_000, 6_000].forEach((outageMs) => {
    it(`lets every caller of an outage of ${outageMs} ms be served within its tries`, (t) => {
      const lost = arrivalsDuring(outageMs).filter(
        (arrivalMs) => servedMs(arrivalMs, outageMs) === undefined,
      );
      t.same(lost, []);
      t.end();
    });

    it(`lets nobody return long after an outage of ${outageMs} ms`, (t) => {
      const latest = arrivalsDuring(outageMs).map(
        (arrivalMs) => (servedMs(arrivalMs, outageMs) ?? Infinity) - outageMs,
      );
      t.ok(Math.max(...latest) <= MAX_OVERSHOOT_MS);
      t.end();
    });
  });

  it('gives whole seconds, the unit in which callers are told', (t) => {
    [0, 500, 2_100, 4_700, 60_000].forEach((outageMs) => {
      t.equal(RetryAfter.duringOutageMs(outageMs) % 1_000, 0);
    });
    t.end();
  });

  it('takes an outage that has not begun as a short one', (t) => {
    t.equal(RetryAfter.duringOutageMs(-1), 1_000);
    t.end();
  });
});
