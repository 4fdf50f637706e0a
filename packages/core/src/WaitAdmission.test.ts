/** Tests the fluid wait and the decision on it at their limits. */
import { describe, it } from './testing/describe.js';
import { admitWithin, fluidWaitMs } from './WaitAdmission.js';

const RETRY = { minMs: 1_000, maxMs: 3_000 };

describe('admission by wait', () => {
  it('predicts an endless wait without a rate', (t) => {
    t.equal(fluidWaitMs(1_000, 4), 250);
    t.equal(fluidWaitMs(1_000, 0), Infinity);
    t.end();
  });

  it('admits up to the budget and bounds the return of others', (t) => {
    t.same(admitWithin(500, 500, RETRY), { kind: 'admitted' });
    t.same(admitWithin(501, 500, RETRY), { kind: 'late', retryAfterMs: 1_000 });
    t.same(admitWithin(2_500, -9_000, RETRY), { kind: 'late', retryAfterMs: 2_500 });
    t.same(admitWithin(Infinity, 500, RETRY), { kind: 'late', retryAfterMs: 3_000 });
    t.end();
  });
});
