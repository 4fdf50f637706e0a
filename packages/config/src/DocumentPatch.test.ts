import { describe, it } from '@acaciadock/core/testing';
import fc from 'fast-check';
import { applyPatch } from 'rfc6902';
import { canonicalJson } from './canonicalJson.js';
import { type ConfigDocument } from './ConfigDocument.js';
import { type PatchOperation } from './ConfigRecord.js';
import { checkDocument } from './DocumentCheck.js';
import { patchDocument } from './DocumentPatch.js';
import { smallDocument } from './testing/records.js';

const SEED = 20_261_203;

/** Reference implementation: the library on a deep copy, then a check of the complete document. */
function applyWithLibrary(document: ConfigDocument, operations: readonly PatchOperation[]) {
  const root = { document: structuredClone(document) as unknown };
  const rebased = operations.map((operation) => ({
    ...operation,
    path: `/document${operation.path}`,
    ...('from' in operation ? { from: `/document${operation.from}` } : {}),
  }));
  try {
    if (applyPatch(root, rebased).some((error) => error !== null)) return undefined;
  } catch {
    // The library throws if a pointer leads into a string or a number.
    return undefined;
  }
  const checked = checkDocument(root.document);
  return checked.ok ? canonicalJson(checked.document) : undefined;
}

const INSTANCE_FIELDS = { rackId: 'r', address: '10.0.0.1:1', cores: 1, memoryBytes: 1 };
const PATHS = [
  '',
  '/deploymentName',
  '/zones/z1',
  '/zones/z3',
  '/pools',
  '/pools/p1',
  '/pools/p2',
  '/pools/bad id',
  '/instances/i1',
  '/instances/i1/poolId',
  '/instances/i2/zoneId',
  '/instances/i2/slots',
  '/instances/i9',
  '/services/s1',
  '/services/s2/openTeamId',
  '/services/s2/access',
  '/teams/desk',
  '/teams/walk-in',
  '/teams/desk/keys/k1',
  '/teams/desk/limit',
  '/policy',
  '/policy/weights/moves',
  '/policy/urgentStartMs',
  '/nothing/here',
];
const VALUES: readonly unknown[] = [
  'p1',
  'p2',
  'z2',
  'open',
  'keyed',
  'walk-in',
  3,
  -1,
  0.5,
  null,
  {},
  [],
  { description: 'new' },
  { role: 'spare' },
  { share: 1, limit: 2 },
  { ...INSTANCE_FIELDS, poolId: 'p2', zoneId: 'z2' },
  { ...INSTANCE_FIELDS, poolId: 'none', zoneId: 'z2' },
  { sha256: '0'.repeat(64), grantedAtMs: 0 },
];

const APPLICABLE_OPERATIONS: readonly PatchOperation[] = [
  { op: 'replace', path: '/instances/i1/poolId', value: 'p2' },
  { op: 'replace', path: '/instances/i2/zoneId', value: 'z1' },
  { op: 'add', path: '/teams/desk/limit', value: 3 },
  { op: 'add', path: '/pools/p9', value: { role: 'spare' } },
  { op: 'remove', path: '/instances/i2' },
  { op: 'remove', path: '/pools/p2' },
  { op: 'remove', path: '/services/s2' },
  { op: 'remove', path: '/teams/walk-in' },
  { op: 'move', from: '/teams/desk', path: '/teams/bench' },
  { op: 'copy', from: '/instances/i1', path: '/instances/i9' },
];

const path = fc.constantFrom(...PATHS);
const operation: fc.Arbitrary<PatchOperation> = fc.oneof(
  fc.constantFrom(...APPLICABLE_OPERATIONS),
  fc.record({
    op: fc.constantFrom('add', 'replace', 'test'),
    path,
    value: fc.constantFrom(...VALUES),
  }),
  fc.record({ op: fc.constant('remove' as const), path }),
  fc.record({ op: fc.constantFrom('move', 'copy'), from: path, path }),
);

describe('patchDocument', () => {
  it('gives the same result as the library on a deep copy and a complete check', (t) => {
    let accepted = 0;
    fc.assert(
      fc.property(fc.array(operation, { minLength: 1, maxLength: 4 }), (operations) => {
        const document = smallDocument();
        const before = canonicalJson(document);
        const expected = applyWithLibrary(document, operations);
        const patched = patchDocument(document, operations);
        if (patched.ok) accepted += 1;
        const found = patched.ok ? canonicalJson(patched.document) : undefined;
        return found === expected && canonicalJson(document) === before;
      }),
      { seed: SEED, numRuns: 5_000 },
    );
    t.ok(accepted > 250, `${accepted} of the random patches were valid`);
  });

  const refusals: readonly [string, PatchOperation, string][] = [
    [
      'a pointer to a prototype',
      { op: 'add', path: '/__proto__/polluted', value: 1 },
      'patch-not-applicable',
    ],
    [
      'a pointer to a nested prototype',
      { op: 'add', path: '/teams/constructor/prototype', value: 1 },
      'patch-not-applicable',
    ],
    [
      'a pointer into an inherited function',
      { op: 'add', path: '/teams/toString/polluted', value: 1 },
      'patch-not-applicable',
    ],
    [
      'the removal of an inherited property',
      { op: 'remove', path: '/teams/toString' },
      'patch-not-applicable',
    ],
    [
      'a value with a __proto__ key',
      { op: 'add', path: '/teams/x', value: JSON.parse('{"__proto__":{"limit":9}}') },
      'patch-not-applicable',
    ],
    [
      'a pointer into a string',
      { op: 'add', path: '/deploymentName/x', value: 1 },
      'patch-not-applicable',
    ],
    [
      'a value that nests too deeply',
      { op: 'add', path: '/teams/x', value: JSON.parse('['.repeat(5_000) + ']'.repeat(5_000)) },
      'patch-not-applicable',
    ],
    ['the removal of a pool in use', { op: 'remove', path: '/pools/p1' }, 'document-invalid'],
    [
      'the removal of an availability zone in use',
      { op: 'remove', path: '/zones/z2' },
      'document-invalid',
    ],
    ['the removal of a team in use', { op: 'remove', path: '/teams/walk-in' }, 'document-invalid'],
    [
      'a second pool for an instance',
      { op: 'add', path: '/instances/i1/poolIds', value: ['p1', 'p2'] },
      'document-invalid',
    ],
  ];
  refusals.forEach(([name, refused, kind]) => {
    it(`refuses ${name}`, (t) => {
      const document = smallDocument();
      const patched = patchDocument(document, [refused]);
      t.match(patched, { ok: false, refusal: { kind } });
      t.same(document, smallDocument());
      t.notOk('polluted' in {} || 'polluted' in Object.prototype.toString);
    });
  });

  it('fills in the defaults of an added entity', (t) => {
    const value = { ...INSTANCE_FIELDS, poolId: 'p1', zoneId: 'z1' };
    const patched = patchDocument(smallDocument(), [{ op: 'add', path: '/instances/i3', value }]);
    t.match(patched, { ok: true, document: { instances: { i3: { slots: 8, connections: 64 } } } });
  });
});
