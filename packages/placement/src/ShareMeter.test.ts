/** Tests which jobs exceed the share of a team. */
import { describe, it } from '@acaciadock/core/testing';
import { ShareMeter } from './ShareMeter.js';

describe('ShareMeter', () => {
  it('marks jobs that exceed the weight within a second', (t) => {
    const meter = new ShareMeter();
    const marks = [0, 100, 200, 300].map((nowMs) => meter.note('team', 2, nowMs));
    t.same(marks, [false, false, true, true]);
    t.equal(meter.note('team', 2, 1_050), false, 'within the share again a second later');
  });

  it('counts only jobs that are recorded, not those that are refused later', (t) => {
    const meter = new ShareMeter();
    t.notOk(meter.isBeyond('team', 1, 0));
    t.notOk(meter.note('team', 1, 0));
    t.ok(meter.isBeyond('team', 1, 0));
  });

  it('counts each team separately', (t) => {
    const meter = new ShareMeter();
    for (let job = 0; job < 50; job += 1) meter.note('hot', 5, job);
    t.equal(meter.note('calm', 5, 50), false);
  });

  it('marks seven eighths of the jobs of a team at eight times its share', (t) => {
    const meter = new ShareMeter();
    let beyond = 0;
    for (let job = 0; job < 800; job += 1) beyond += meter.note('hot', 10, job * 12.5) ? 1 : 0;
    t.ok(Math.abs(beyond / 800 - 7 / 8) < 0.03, `${beyond} of 800`);
  });
});
