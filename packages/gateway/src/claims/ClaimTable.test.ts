import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type LogRecord } from '@acaciadock/platform';
import fc from 'fast-check';
import { ClaimHorizon } from './ClaimHorizon.js';
import { type Claim, type ClaimRelease } from './ClaimRecord.js';
import { ClaimTable } from './ClaimTable.js';

const SEED = 5_003;
const KEYS = ['a', 'b', 'c'].map((letter) => letter.repeat(22));

function claim(claimId: string, key = 0): Claim {
  return { claimId, keyHash: KEYS[key] ?? '', fingerprint: 'f'.repeat(22) };
}

function record(
  offset: number,
  claims: readonly Claim[],
  releases: readonly ClaimRelease[] = [],
  appendedAtMs = 0,
): LogRecord {
  const payload = { kind: 'claims', schemaVersion: 1, entryId: 'e0', claims, releases };
  return { offset, appendedAtMs, payload };
}

describe('ClaimTable', () => {
  it('gives a key to the first claim in the stream', (t) => {
    const table = new ClaimTable();
    const verdicts = [
      ...table.apply(record(0, [claim('x'), claim('y')])),
      ...table.apply(record(1, [claim('z'), claim('w', 1)])),
    ];
    t.same(
      verdicts.map(({ holder }) => holder?.claimId),
      ['x', 'x', 'x', 'w'],
    );
  });

  it('applies each offset once and in order', (t) => {
    const table = new ClaimTable();
    t.same(table.apply(record(1, [claim('x')])), []);
    table.apply(record(0, [claim('y')]));
    table.apply(record(0, [claim('z')]));
    t.equal(table.holderOf(KEYS[0] ?? '')?.claimId, 'y');
    t.equal(table.nextOffset, 1);
  });

  it('releases a key only for its holder', (t) => {
    const table = new ClaimTable();
    const keyHash = KEYS[0] ?? '';
    table.apply(record(0, [claim('x')]));
    table.apply(record(1, [], [{ claimId: 'other', keyHash }]));
    t.equal(table.holderOf(keyHash)?.claimId, 'x');
    table.apply(record(2, [claim('y')], [{ claimId: 'x', keyHash }]));
    t.equal(table.holderOf(keyHash)?.claimId, 'y');
  });

  it('does not give the key to a late copy of a released claim', (t) => {
    const table = new ClaimTable();
    const keyHash = KEYS[0] ?? '';
    table.apply(record(0, [claim('x')]));
    table.apply(record(1, [], [{ claimId: 'x', keyHash }]));
    table.apply(record(2, [claim('x')]));
    t.equal(table.holderOf(keyHash), undefined);
  });

  it('skips and counts records that do not match the schema', (t) => {
    const table = new ClaimTable();
    table.apply({ offset: 0, appendedAtMs: 0, payload: { kind: 'other' } });
    t.equal(table.malformedRecords, 1);
    t.equal(table.nextOffset, 1);
  });

  it('forgets claims that were appended before the given time', (t) => {
    const table = new ClaimTable();
    table.apply(record(0, [claim('x', 0)], [], 10));
    table.apply(record(1, [claim('y', 1)], [], 20));
    table.forget(20);
    t.equal(table.holderOf(KEYS[0] ?? ''), undefined);
    t.equal(table.holderOf(KEYS[1] ?? '')?.claimId, 'y');
  });

  it('gives the same holders to a reader that applies records again', (t) => {
    const claims = fc.array(
      fc.record({ id: fc.integer({ min: 0, max: 9 }), key: fc.integer({ min: 0, max: 2 }) }),
      { maxLength: 5 },
    );
    const batches = fc.array(fc.record({ claims, releases: claims }), { maxLength: 12 });
    const check = fc.property(batches, fc.integer({ min: 0, max: 12 }), (stream, again) => {
      const records = stream.map((batch, offset) =>
        record(
          offset,
          batch.claims.map(({ id, key }) => claim(`c${id}`, key)),
          batch.releases.map(({ id, key }) => ({ claimId: `c${id}`, keyHash: KEYS[key] ?? '' })),
        ),
      );
      const one = new ClaimTable();
      const other = new ClaimTable();
      records.forEach((entry) => one.apply(entry));
      records.slice(0, again).forEach((entry) => other.apply(entry));
      records.forEach((entry) => other.apply(entry));
      return KEYS.every((key) => one.holderOf(key)?.claimId === other.holderOf(key)?.claimId);
    });
    fc.assert(check, { seed: SEED, numRuns: 1_000 });
    t.pass(`seed ${SEED}`);
  });
});

describe('ClaimHorizon', () => {
  const clock = new ManualClock();
  const options = { retentionMs: 10_000, marginMs: 1_000, maxAheadMs: 500 };
  const horizon = new ClaimHorizon(options, clock);
  const cases: readonly [number, string][] = [
    [0, 'within'],
    [8_500, 'within'],
    [8_501, 'too-old'],
    [-500, 'within'],
    [-501, 'too-far-ahead'],
  ];
  cases.forEach(([ageMs, verdict]) => {
    it(`classifies a time of ${ageMs} ms ago as ${verdict}`, (t) => {
      t.equal(horizon.classify(clock.unixMs() - ageMs), verdict);
    });
  });
});
