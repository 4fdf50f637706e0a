import { describe, it } from '@acaciadock/core/testing';
import fc from 'fast-check';
import { canonicalJson } from './canonicalJson.js';
import { sameJson } from './sameJson.js';

const SEED = 20_261_203;

describe('sameJson', () => {
  it('gives the same result as a comparison of canonical JSON texts', (t) => {
    const value = fc.jsonValue({ maxDepth: 3 });
    fc.assert(
      fc.property(value, value, fc.boolean(), (a, b, alike) => {
        const other: unknown = alike ? JSON.parse(canonicalJson(a)) : b;
        return sameJson(a, other) === (canonicalJson(a) === canonicalJson(other));
      }),
      { seed: SEED, numRuns: 2_000 },
    );
    t.ok(sameJson({ a: 0, b: [1, { c: null }] }, { b: [1, { c: null }], a: -0 }));
    t.notOk(sameJson({ a: 1 }, { a: 1, b: undefined }));
    t.notOk(sameJson([], {}));
  });
});
