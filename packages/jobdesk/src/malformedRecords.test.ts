/** Takeovers from a journal that has malformed records. */
import { RecordingLogger } from '@acaciadock/coordinator/testing';
import { describe, it } from '@acaciadock/core/testing';
import fc from 'fast-check';
import { MAX_LEASE_MS } from './testing/SimulatedEntry.js';
import { assertCompletes, createWorld, submit } from './testing/takeoverHelpers.js';

const KEYS = ['incumbent', 'duty', 'turns', 'wave/1', 'wave/x', 'definition/x', 'progress/x'];
const RUNS = 15;

function appendMalformed(
  world: Awaited<ReturnType<typeof createWorld>>,
  records: readonly { readonly key: string; readonly text: string }[],
): void {
  world.killEntry(world.ownerId() ?? '');
  world.store.append(
    world.store.records.length,
    records.map(({ key, text }) => ({ key, value: Buffer.from(text) })),
  );
}

describe('malformedRecords', () => {
  it('do not keep an entry from taking over', async (t) => {
    // Fails if a record is parsed without a check: the exception ends the takeover of every entry.
    const text = fc.oneof(
      fc.jsonValue().map((value) => JSON.stringify(value)),
      fc.string(),
    );
    const malformed = fc.record({ key: fc.constantFrom(...KEYS), text });
    await fc.assert(
      fc.asyncProperty(fc.array(malformed, { minLength: 1, maxLength: 8 }), async (records) => {
        const world = await createWorld({ instanceCount: 2 });
        await submit(world, 'a');
        appendMalformed(world, records);
        t.ok(await world.runUntil(() => world.owner !== undefined, 5_000), 'there is an owner');
        await submit(world, 'b');
        await assertCompletes(t, world, ['a', 'b']);
      }),
      { seed: 1, numRuns: RUNS },
    );
  });

  it('are logged, and leave the records of other jobs in force', async (t) => {
    const logger = new RecordingLogger();
    const world = await createWorld({ instanceCount: 2, logger });
    await submit(world, 'a');
    appendMalformed(
      world,
      KEYS.map((key) => ({ key, text: '{"orders":5}' })),
    );
    await world.runUntil(() => world.owner !== undefined, 5_000);
    await assertCompletes(t, world, ['a']);
    ['owner-record-unreadable', 'duty-unreadable', 'turns-unreadable'].forEach((event) =>
      t.equal(logger.of(event).length, 1, event),
    );
    t.equal(logger.of('wave-progress-unreadable').length, 2);
    t.same(logger.of('coordinator-started').at(-1)?.unreadable, ['x']);
  });

  it('that name no owner make the successor wait out the leases of an unknown one', async (t) => {
    // Fails if a malformed owner record counts as no previous owner: the paused owner's target is
    // unreachable and still has the run.
    const world = await createWorld({ targetCount: 2, runtimeMs: 60_000 });
    await submit(world, 'a', [{ taskCount: 1, cpuMilli: 1_000 }]);
    const busy = [...world.targets.values()].find(({ runningCount }) => runningCount > 0)!;
    appendMalformed(world, [{ key: 'incumbent', text: '{}' }]);
    world.entries.forEach((entry) => entry.portFaults.cutTargets.add(busy.targetId));
    await world.runUntil(() => world.owner !== undefined, 5_000);
    const ownedMs = world.clock.monotonicMs();
    t.ok(await world.runUntil(() => world.observer.startsOf('a.0.0.0') > 1, 30_000), 'again');
    t.ok(world.clock.monotonicMs() - ownedMs >= MAX_LEASE_MS, 'after the lease');
    t.same(world.observer.broken, []);
  });
});
