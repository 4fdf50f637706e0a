/** Tests what a new owner keeps of the credits of the previous one. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { FairShares } from '@acaciadock/placement';
import { ShareRecord } from './ShareRecord.js';

const CREDIT = { poolId: 'p', teamId: 't', credit: 0.4 };

describe('ShareRecord', () => {
  it('restores credits, less their decay since then', (t) => {
    const shares = new FairShares();
    const clock = new ManualClock();
    shares.restore([CREDIT], clock.monotonicMs());
    const record = ShareRecord.encode(shares, clock);
    const restored = new FairShares();
    // Another process: its monotonic clock starts anew, its wall clock agrees.
    const successor = new ManualClock();
    successor.advance(clock.unixMs() - successor.unixMs() + 3_000);
    ShareRecord.restore(record, restored, successor)._unsafeUnwrap();
    const credit = restored.creditOf('p', 't', successor.monotonicMs());
    t.ok(Math.abs(credit - 0.4 / Math.E) < 0.01, `${credit}`);
    t.end();
  });

  it('reports a record that cannot be read, and starts from zero', (t) => {
    const shares = new FairShares();
    const restored = (text: string): boolean =>
      ShareRecord.restore(Buffer.from(text), shares, new ManualClock()).isErr();
    t.ok(restored('{'));
    t.ok(restored('{"unixMs":1,"credits":[{"poolId":"p","teamId":"t","credit":-1}]}'));
    t.same(shares.current(0), []);
    t.end();
  });
});
