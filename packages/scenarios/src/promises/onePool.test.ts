/**
 * Promise: every entry sees an instance in exactly one pool at any time, also while operators
 * submit conflicting moves and the log is slow, unreachable or loses its responses.
 */
import { Random } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type ConfigDocument, type PatchOperation } from '@acaciadock/config';
import { patchRecord, smallDocument } from '@acaciadock/config/testing';
import { type SubmitOutcome } from '@acaciadock/replication';
import { ModelFleet } from '@acaciadock/replication/testing';

const SEED = 20_261_203;
const RUNS = 20;
const ENTRIES = 3;
const STEPS = 40;
const STEP_MS = 100;
const RECOVERY_MS = 12_000;

/** Returns the instances whose pool id does not match exactly one pool of the document. */
function findMisplacedInstances(document: ConfigDocument): string[] {
  return Object.entries(document.instances)
    .filter(([, instance]) => {
      const pools = Object.keys(document.pools).filter((poolId) => poolId === instance.poolId);
      return pools.length !== 1;
    })
    .map(([instanceId]) => instanceId);
}

/** Picks a random patch that moves an instance or removes a pool; some of them are invalid. */
function pickOperations(random: Random): PatchOperation[] {
  const instanceId = random.pick(['i1', 'i2']);
  const poolId = random.pick(['p1', 'p2', 'p2', 'p1', 'gone']);
  const path = `/instances/${instanceId}/poolId`;
  const kinds: readonly PatchOperation[][] = [
    [{ op: 'replace', path, value: poolId }],
    [{ op: 'add', path, value: poolId }],
    [{ op: 'remove', path }],
    [{ op: 'replace', path, value: ['p1', 'p2'] }],
    [{ op: 'add', path: `/instances/${instanceId}/poolIds`, value: ['p1', 'p2'] }],
    [{ op: 'remove', path: '/pools/p2' }],
    [
      { op: 'test', path, value: 'p1' },
      { op: 'replace', path, value: 'p2' },
    ],
    [{ op: 'replace', path, value: poolId }],
  ];
  return [...(random.pick(kinds) ?? [])];
}

/** Lets operators at all entries submit conflicting moves while faults come and go. */
async function runRace(seed: number) {
  const random = new Random(seed);
  const fleet = new ModelFleet({ entries: ENTRIES, initial: smallDocument() }, seed);
  const outcomes: Promise<SubmitOutcome>[] = [];
  let found = 0;
  await fleet.advance(STEP_MS);
  for (let step = 0; step < STEPS; step += 1) {
    fleet.entries.forEach((entry, index) => {
      const record = patchRecord(
        `m${step}-${index}`,
        entry.follower.state().version,
        pickOperations(random),
      );
      outcomes.push(entry.submitter.submit(record));
      Object.assign(entry.way.faults, {
        down: random.chance(0.1),
        delayMs: random.integer(0, 300),
        loseAppendAnswers: random.chance(0.1) ? 1 : 0,
      });
    });
    await fleet.advance(STEP_MS);
    found += fleet.entries.flatMap(({ follower }) =>
      findMisplacedInstances(follower.state().document),
    ).length;
  }
  fleet.entries.forEach(({ way }) => Object.assign(way.faults, { down: false, delayMs: 0 }));
  await fleet.advance(RECOVERY_MS);
  const applied = (await Promise.all(outcomes)).filter(
    (outcome) => outcome.kind === 'settled' && outcome.verdict.kind === 'applied',
  );
  const versions = fleet.entries.map(({ follower }) => follower.state().version);
  fleet.dispose();
  return { found, violations: fleet.violations, versions, applied: applied.length };
}

describe('an instance', () => {
  it(`is in exactly one pool, the same at every entry, in ${RUNS} random runs`, async (t) => {
    let applied = 0;
    for (let index = 0; index < RUNS; index += 1) {
      const result = await runRace(SEED + index);
      t.equal(result.found, 0, `seed ${SEED + index}`);
      t.same(result.violations, []);
      t.equal(new Set(result.versions).size, 1, 'all entries end at the same version');
      t.ok((result.versions[0] ?? 0) >= result.applied, 'each applied move created a version');
      applied += result.applied;
    }
    t.ok(applied >= RUNS, `${applied} conflicting moves were applied`);
  });
});
