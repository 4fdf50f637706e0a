import { describe, it } from '@acaciadock/core/testing';
import fc from 'fast-check';
import { ConfigReducer } from './ConfigReducer.js';
import { limitPatch, patchRecord, smallDocument } from './testing/records.js';

const SEED = 20_261_203;

function createReducer(...records: readonly unknown[]): ConfigReducer {
  const reducer = new ConfigReducer(smallDocument());
  records.forEach((record, offset) => reducer.reduce(offset, record));
  return reducer;
}

function reduceNext(reducer: ConfigReducer, record: unknown) {
  return reducer.reduce(reducer.state.offset + 1, record);
}

describe('ConfigReducer', () => {
  describe('patches', () => {
    it('applies a patch based on the current version and refuses a stale one', (t) => {
      const reducer = createReducer(limitPatch('a', 0, 5));
      t.match(reduceNext(reducer, limitPatch('b', 0, 6)), {
        kind: 'refused',
        refusal: { kind: 'stale-base', baseVersion: 0, currentVersion: 1 },
      });
      t.equal(reducer.state.version, 1);
      t.equal(reducer.state.document.teams.desk?.limit, 5);
    });

    it('applies a repeated patch once', (t) => {
      const reducer = createReducer(limitPatch('a', 0, 5), limitPatch('b', 1, 6));
      t.match(reduceNext(reducer, limitPatch('a', 0, 5)), { kind: 'repeated', version: 1 });
      t.equal(reducer.state.version, 2);
    });

    it('refuses a repeated id again, even if its base version is current by then', (t) => {
      const reducer = createReducer(limitPatch('early', 1, 5), limitPatch('a', 0, 6));
      t.match(reduceNext(reducer, limitPatch('early', 1, 5)), {
        kind: 'refused',
        refusal: { kind: 'refused-before', first: 'stale-base' },
      });
      t.equal(reducer.state.document.teams.desk?.limit, 6);
    });

    it('does not modify the document of the previous version', (t) => {
      const reducer = createReducer();
      const before = reducer.state.document;
      reduceNext(reducer, limitPatch('a', 0, 5));
      t.equal(before.teams.desk?.limit, 8);
      t.equal(before.instances, reducer.state.document.instances, 'unchanged sections are shared');
    });
  });

  describe('records that cannot be reduced', () => {
    const malformed: readonly [string, unknown][] = [
      ['no object', 'text'],
      ['no kind', { schemaVersion: 1 }],
      ['unknown kind', { kind: 'other', schemaVersion: 1 }],
      ['unknown field', { ...limitPatch('a', 0, 5), extra: 1 }],
      ['no operation', { ...limitPatch('a', 0, 5), operations: [] }],
      ['pointer without a slash', patchRecord('a', 0, [{ op: 'remove', path: 'teams' }])],
      ['older format', { ...limitPatch('a', 0, 5), schemaVersion: 0 }],
    ];
    malformed.forEach(([name, payload]) => {
      it(`skips a malformed record: ${name}`, (t) => {
        const reducer = createReducer();
        t.match(reduceNext(reducer, payload), { kind: 'record-malformed' });
        t.match(reduceNext(reducer, limitPatch('b', 0, 4)), { kind: 'applied', version: 1 });
      });
    });

    it('halts at a record of a newer format and does not skip it', (t) => {
      const reducer = createReducer();
      const newer = { kind: 'patch', schemaVersion: 2 };
      t.match(reduceNext(reducer, newer), { kind: 'record-too-new', schemaVersion: 2 });
      t.equal(reducer.haltedBySchemaVersion, 2);
      t.same(reducer.reduce(1, limitPatch('a', 0, 4)), { kind: 'gap', missingOffset: 0 });
      t.equal(reducer.state.version, 0);
    });

    it('does not change its state for a record after a gap', (t) => {
      const reducer = createReducer();
      t.same(reducer.reduce(1, limitPatch('a', 0, 4)), { kind: 'gap', missingOffset: 0 });
      t.equal(reducer.state.offset, -1);
    });
  });

  describe('snapshots', () => {
    it('compares a snapshot with the version at its included offset', (t) => {
      const reducer = createReducer(limitPatch('a', 0, 5));
      const snapshot = reducer.snapshot();
      reduceNext(reducer, limitPatch('b', 1, 6));
      const verdict = reduceNext(reducer, JSON.parse(JSON.stringify(snapshot)));
      t.same(verdict, { kind: 'snapshot-agrees', version: 1, compared: true });
      t.equal(reducer.state.document.teams.desk?.limit, 6, 'the later patch stays in force');
    });

    it('applies a patch between a snapshot and its included offset exactly once', (t) => {
      const writer = createReducer(limitPatch('a', 0, 5));
      const records = [limitPatch('a', 0, 5), limitPatch('b', 1, 6), writer.snapshot()];
      const late = new ConfigReducer(smallDocument());
      t.match(late.adopt(writer.snapshot()), { kind: 'adopted', version: 1 });
      t.match(late.reduce(1, records[1]), { kind: 'applied', version: 2 });
      t.match(late.reduce(2, records[2]), { kind: 'snapshot-agrees', version: 1 });
      t.same(late.state, createReducer(...records).state);
    });

    const contradictions: readonly [string, object][] = [
      ['another document', { document: { ...smallDocument(), deploymentName: 'other' } }],
      ['a higher version', { version: 7 }],
      ['a lower version', { version: 0 }],
      ['an included offset beyond its own', { includedOffset: 9 }],
    ];
    contradictions.forEach(([name, change]) => {
      it(`refuses a snapshot with ${name}`, (t) => {
        const reducer = createReducer(limitPatch('a', 0, 5));
        const { state } = reducer;
        const verdict = reduceNext(reducer, { ...reducer.snapshot(), ...change });
        t.match(verdict, { kind: 'snapshot-contradicts' });
        t.same(reducer.state, { ...state, offset: 1 });
      });
    });

    it('never adopts a lower version, nor another document of the same version', (t) => {
      const reducer = createReducer(limitPatch('a', 0, 5));
      const ahead = { ...reducer.snapshot(), includedOffset: 9 };
      t.match(reducer.adopt({ ...ahead, version: 0 }), { kind: 'snapshot-contradicts' });
      const other = { ...ahead, document: smallDocument() };
      t.match(reducer.adopt(other), { kind: 'snapshot-contradicts' });
      t.equal(reducer.state.offset, 0);
    });

    it('recognises repeated and refused patches after adopting a snapshot', (t) => {
      const writer = createReducer(limitPatch('early', 2, 1), limitPatch('a', 0, 5));
      const late = new ConfigReducer(smallDocument());
      late.adopt(writer.snapshot());
      t.match(reduceNext(late, limitPatch('a', 0, 5)), { kind: 'repeated', version: 1 });
      t.match(reduceNext(late, limitPatch('early', 2, 1)), { kind: 'refused' });
    });
  });

  describe('changesSince', () => {
    it('lists the operations of later versions', (t) => {
      const reducer = createReducer(limitPatch('a', 0, 5), limitPatch('b', 1, 6));
      const { changes, truncated } = reducer.changesSince(1);
      t.match(changes, [{ version: 2, patchId: 'b', operations: [{ value: 6 }] }]);
      t.equal(truncated, false);
    });

    it('reports truncation when older changes are no longer kept', (t) => {
      const late = new ConfigReducer(smallDocument());
      late.adopt(createReducer(limitPatch('a', 0, 5)).snapshot());
      t.same(late.changesSince(0), { changes: [], truncated: true });
    });
  });

  it('reaches the same state at every reader, whichever snapshot it started from', (t) => {
    const record = fc.oneof(
      fc
        .tuple(fc.integer({ min: 0, max: 8 }), fc.integer({ min: 0, max: 12 }), fc.nat(20))
        .map(([id, base, limit]) => limitPatch(`p${id}`, base, limit)),
      fc.constantFrom<unknown>('junk', { kind: 'patch', schemaVersion: 1 }),
      fc
        .tuple(fc.constantFrom('p1', 'gone'), fc.integer({ min: 0, max: 6 }))
        .map(([poolId, base]) =>
          patchRecord(`m${base}${poolId}`, base, [
            { op: 'replace', path: '/instances/i1/poolId', value: poolId },
          ]),
        ),
    );
    fc.assert(
      fc.property(fc.array(record, { maxLength: 30 }), fc.nat(30), (records, cut) => {
        const full = new ConfigReducer(smallDocument());
        const verdicts = records.map((payload, offset) => full.reduce(offset, payload));
        const prefix = createReducer(...records.slice(0, cut));
        const late = new ConfigReducer(smallDocument());
        late.adopt(JSON.parse(JSON.stringify(prefix.snapshot())) as never);
        const later = records.slice(cut).map((payload, index) => late.reduce(cut + index, payload));
        t.same(later, verdicts.slice(cut));
        t.same(late.state, full.state);
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});
