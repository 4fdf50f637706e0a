/** Guards against work that is put off by a short burst, or not at all under lasting load. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { LoadMeter } from './LoadMeter.js';

const TICK_MS = 50;

function meterAfter(shares: readonly number[]): number {
  const clock = new ManualClock();
  let busyMs = 7;
  const meter = new LoadMeter(clock, () => busyMs);
  shares.forEach((share) => {
    clock.advance(TICK_MS);
    busyMs += TICK_MS * share;
    meter.update();
  });
  return meter.busyShare;
}

describe('LoadMeter', () => {
  it('follows a load that lasts', (t) => {
    t.ok(meterAfter(Array<number>(20).fill(0.9)) > 0.85);
    t.ok(meterAfter([...Array<number>(20).fill(1), ...Array<number>(20).fill(0)]) < 0.05);
  });

  it('does not follow a single burst', (t) => {
    t.ok(meterAfter([0, 0, 0, 1]) < 0.3);
  });

  it('shows no load if it is unknown', (t) => {
    const clock = new ManualClock();
    const meter = new LoadMeter(clock, undefined);
    clock.advance(TICK_MS);
    meter.update();
    t.equal(meter.busyShare, 0);
  });
});
