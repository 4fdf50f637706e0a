/** Guards against time that is counted twice or not at all in the account of an overloaded process. */
import { ManualClock } from './ManualClock.js';
import { describe, it } from './testing/describe.js';
import { WorkMeter } from './WorkMeter.js';

describe('WorkMeter', () => {
  it('adds up the time, the longest time and the number of measurements of each part', (t) => {
    const clock = new ManualClock();
    const meter = new WorkMeter(clock);
    meter.measure('reports', () => clock.advance(3));
    meter.measure('placement', () => clock.advance(20));
    meter.measure('reports', () => clock.advance(5));
    t.match(meter.take(), [
      { part: 'placement', totalMs: 20, longestMs: 20, count: 1 },
      { part: 'reports', totalMs: 8, longestMs: 5, count: 2 },
    ]);
  });

  it('counts the time of an inner part once', (t) => {
    const clock = new ManualClock();
    const meter = new WorkMeter(clock);
    meter.measure('placement', () => {
      clock.advance(2);
      meter.measure('order', () => clock.advance(7));
      clock.advance(1);
    });
    t.match(meter.take(), [
      { part: 'order', totalMs: 7 },
      { part: 'placement', totalMs: 3 },
    ]);
  });

  it('starts anew after the totals have been taken', (t) => {
    const clock = new ManualClock();
    const meter = new WorkMeter(clock);
    meter.measure('reports', () => clock.advance(3));
    meter.take();
    t.same(meter.take(), []);
  });

  it('counts work that throws, and passes its error on', (t) => {
    const clock = new ManualClock();
    const meter = new WorkMeter(clock);
    const failing = (): void => {
      clock.advance(4);
      throw new RangeError('expected');
    };
    t.throws(() => meter.measure('calls', failing), { name: 'RangeError' });
    t.match(meter.take(), [{ part: 'calls', totalMs: 4 }]);
  });
});
