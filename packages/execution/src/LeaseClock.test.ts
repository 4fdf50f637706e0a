/** What is certain of a lease on a clock that may be slow. */
import { describe, it } from '@acaciadock/core/testing';
import { LeaseClock, SLOWEST_CLOCK_RATE } from './LeaseClock.js';

const MOST_MS = 6_000;

describe('LeaseClock', () => {
  it('grants from the shown clock onward, at most the longest lease', (t) => {
    const lease = new LeaseClock(MOST_MS);
    lease.show(1_000, 40, 50);
    t.equal(lease.grant(5_000, 150), 6_100);
    t.equal(lease.grant(60_000, 150), 7_100);
  });

  it('is certain of the end only after the slowest clock has reached it', (t) => {
    const lease = new LeaseClock(MOST_MS);
    lease.show(1_000, 0, 0);
    lease.grant(4_900, 0);
    t.equal(lease.surelyLapsedAtMs(), 4_900 / SLOWEST_CLOCK_RATE);
  });

  it('waits for leases of an earlier owner until the target has answered', (t) => {
    const lease = new LeaseClock(MOST_MS, 20_000);
    t.equal(lease.surelyLapsedAtMs(), 20_000);
    lease.show(1_000, 100, 110);
    t.equal(lease.surelyLapsedAtMs(), 100 + MOST_MS / SLOWEST_CLOCK_RATE);
  });

  it('tells the clock of a later lifetime from a slow one', (t) => {
    const lease = new LeaseClock(MOST_MS);
    lease.show(9_000, 0, 0);
    t.ok(lease.isSameLifetime(10_960, 2_000), 'two per cent slow');
    t.ok(lease.isSameLifetime(11_300, 2_000));
    t.notOk(lease.isSameLifetime(1_200, 2_000));
  });

  it('waits the longest lease for a start in an unknown lifetime', (t) => {
    const lease = new LeaseClock(MOST_MS);
    lease.show(1_000, 0, 0);
    lease.grant(5_000, 300);
    lease.noteUnconfirmed(300);
    t.equal(lease.surelyLapsedAtMs(), 300 + MOST_MS / SLOWEST_CLOCK_RATE);
  });
});
