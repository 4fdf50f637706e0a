import { describe, it } from '@acaciadock/core/testing';
import { limitPatch, smallDocument } from '@acaciadock/config/testing';
import { CONFIG_STREAM } from '@acaciadock/platform';
import { type Test } from 'tap';
import { type SubmitOutcome } from './PatchSubmitter.js';
import { ModelFleet } from './testing/index.js';

const SEED = 20_261_203;
const NO_SNAPSHOTS = { periodMs: 1e9, maxRecords: 1e9, jitterMs: 0 };

async function createFleet(t: Test, entries = 1): Promise<ModelFleet> {
  const options = { entries, initial: smallDocument(), snapshots: NO_SNAPSHOTS };
  const fleet = new ModelFleet(options, SEED);
  t.teardown(() => fleet.dispose());
  await fleet.advance(100);
  return fleet;
}

async function awaitOutcome(
  fleet: ModelFleet,
  submitted: Promise<SubmitOutcome>,
  withinMs = 10_000,
): Promise<SubmitOutcome> {
  await fleet.advance(withinMs);
  return submitted;
}

describe('PatchSubmitter', () => {
  interface Case {
    readonly name: string;
    readonly prepare: (fleet: ModelFleet) => void;
    readonly expected: object;
    readonly version: number;
  }
  const cases: readonly Case[] = [
    {
      name: 'reports the version that a patch created',
      prepare: () => undefined,
      expected: { kind: 'settled', verdict: { kind: 'applied', version: 1 } },
      version: 1,
    },
    {
      name: 'settles a patch by reading the log when the append answer is lost',
      prepare: (fleet) => Object.assign(fleet.entry(0).way.faults, { loseAppendAnswers: 1 }),
      expected: { kind: 'settled', verdict: { kind: 'applied', version: 1 } },
      version: 1,
    },
    {
      name: 'reports that a patch has no effect when the log refuses it',
      prepare: (fleet) => Object.assign(fleet.entry(0).way.faults, { refuseAppends: 1 }),
      expected: { kind: 'not-appended', failure: { kind: 'log-refused' } },
      version: 0,
    },
    {
      name: 'reports that a patch has no effect when the log is unreachable',
      prepare: (fleet) => Object.assign(fleet.entry(0).way.faults, { down: true }),
      expected: { kind: 'not-appended', failure: { kind: 'log-unreachable' } },
      version: 0,
    },
    {
      name: 'reports an unknown outcome when the log does not answer',
      prepare: (fleet) => Object.assign(fleet.entry(0).way.faults, { delayMs: 60_000 }),
      expected: { kind: 'unknown', patchId: 'a' },
      version: 0,
    },
  ];
  cases.forEach(({ name, prepare, expected, version }) => {
    it(name, async (t) => {
      const fleet = await createFleet(t);
      prepare(fleet);
      const { submitter, follower } = fleet.entry(0);
      const outcome = await awaitOutcome(fleet, submitter.submit(limitPatch('a', 0, 5)));
      t.match(outcome, expected);
      t.equal(follower.state().version, version);
      t.equal(submitter.pendingCount, 0, 'no patch is left in flight');
    });
  });

  it('answers a stale patch with the changes since its base, without an append', async (t) => {
    const fleet = await createFleet(t, 2);
    const { submitter } = fleet.entry(0);
    await awaitOutcome(fleet, submitter.submit(limitPatch('a', 0, 5)));
    const appends = fleet.store.appendCount;
    const outcome = await fleet.entry(1).submitter.submit(limitPatch('b', 0, 6));
    t.match(outcome, {
      verdict: { kind: 'refused', refusal: { kind: 'stale-base', currentVersion: 1 } },
      changesSince: { changes: [{ version: 1, patchId: 'a' }], truncated: false },
    });
    t.equal(fleet.store.appendCount, appends);
  });

  it('applies exactly one of two concurrent patches with the same base version', async (t) => {
    const fleet = await createFleet(t, 2);
    const race = Promise.all([
      fleet.entry(0).submitter.submit(limitPatch('a', 0, 5)),
      fleet.entry(1).submitter.submit(limitPatch('b', 0, 6)),
    ]);
    await fleet.advance(1_000);
    const [first, second] = await race;
    t.match(first, { verdict: { kind: 'applied' } });
    t.match(second, {
      verdict: { kind: 'refused' },
      changesSince: { changes: [{ patchId: 'a' }] },
    });
  });

  it('appends a patch once when it is submitted twice concurrently', async (t) => {
    const fleet = await createFleet(t);
    const { submitter } = fleet.entry(0);
    const both = Promise.all([
      submitter.submit(limitPatch('a', 0, 5)),
      submitter.submit(limitPatch('a', 0, 5)),
    ]);
    await fleet.advance(1_000);
    const [first, second] = await both;
    t.same(first, second);
    t.equal(fleet.store.records(CONFIG_STREAM).length, 1);
  });

  it('reports the first decision for a repeated id at any entry', async (t) => {
    const fleet = await createFleet(t, 2);
    await awaitOutcome(fleet, fleet.entry(0).submitter.submit(limitPatch('a', 0, 5)));
    const again = await fleet.entry(1).submitter.submit(limitPatch('a', 0, 5));
    t.match(again, { verdict: { kind: 'repeated', version: 1 } });
    t.match(fleet.entry(1).submitter.status('a'), { kind: 'decided', decision: { version: 1 } });
    t.match(fleet.entry(1).submitter.status('b'), { kind: 'not-seen', readUpToOffset: 0 });
  });

  it('keeps waiting after a lost append answer until the log can be read again', async (t) => {
    const fleet = await createFleet(t);
    const { submitter, way } = fleet.entry(0);
    way.faults.loseAppendAnswers = 1;
    const submitted = submitter.submit(limitPatch('a', 0, 5));
    way.faults.down = true;
    await fleet.advance(4_000);
    t.equal(submitter.pendingCount, 1);
    way.faults.down = false;
    await fleet.advance(1_500);
    t.match(await submitted, { kind: 'settled', verdict: { kind: 'applied', version: 1 } });
  });

  it('never reports no effect for a patch that may be in the log', async (t) => {
    const fleet = await createFleet(t);
    const { submitter, way } = fleet.entry(0);
    way.faults.delayMs = 8_000;
    const first = submitter.submit(limitPatch('a', 0, 5));
    await fleet.advance(7_000);
    t.match(await first, { kind: 'unknown', patchId: 'a' });
    way.faults.down = true;
    t.match(await submitter.submit(limitPatch('a', 0, 5)), { kind: 'unknown' });
    Object.assign(way.faults, { down: false, delayMs: 0 });
    await fleet.advance(20_000);
    t.match(submitter.status('a'), { kind: 'decided', decision: { version: 1 } });
  });

  it('does not exceed the append budget', async (t) => {
    const fleet = await createFleet(t);
    const { submitter } = fleet.entry(0);
    const submits = Array.from({ length: 80 }, (_, index) =>
      submitter.submit(limitPatch(`p${index}`, 0, 5)),
    );
    await fleet.advance(1_000);
    const outcomes = await Promise.all(submits);
    const appended = outcomes.filter(({ kind }) => kind === 'settled').length;
    t.equal(appended, 50);
    t.match(outcomes[79], { failure: { kind: 'log-refused' } });
  });
});
