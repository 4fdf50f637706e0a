/**
 * Losses of power after which the former owner's entry comes back alone, for a while or for good. All
 * other entries are gone, so its new process is the only one that can claim the journal.
 */
import { type StoreFaults } from '@acaciadock/coordinator/testing';
import { describe, it } from '@acaciadock/core/testing';
import { type Test } from 'tap';
import { CALM_STORE } from './testing/calmStore.js';
import { type JobWorld } from './testing/JobWorld.js';
import { createWorld, ONE_STEP, assertCompletes, submit } from './testing/takeoverHelpers.js';

/** Time from the end of a process to the next one of its entry, in milliseconds. */
const RESTART_MS = 300;

/** Time for which the store is away, longer than a process takes to start, in milliseconds. */
const OUTAGE_MS = 4_200;

/** Interval between two calls of a caller; each that finds no coordinator looks up the owner. */
const CALL_PERIOD_MS = 200;

/**
 * Bound on the time without an owner once the store is back, in milliseconds: 3 s until an entry counts
 * as in touch again, and the 3 s for which a job that could run may have nothing running.
 */
const OWNER_BOUND_MS = 6_000;

interface Outage {
  readonly name: string;
  readonly faults: Partial<StoreFaults>;
  /** Whether the fault ends; a slow store stays slow. */
  readonly hasEnd: boolean;
}

const OUTAGES: readonly Outage[] = [
  { name: 'rejects calls', faults: { isDown: true }, hasEnd: true },
  { name: 'is silent', faults: { isSilent: true }, hasEnd: true },
  { name: 'resets connections', faults: { isResetting: true }, hasEnd: true },
  { name: 'answers 100 ms late', faults: { latencyMs: 100 }, hasEnd: false },
  { name: 'answers 500 ms late', faults: { latencyMs: 500 }, hasEnd: false },
  { name: 'is not affected', faults: {}, hasEnd: true },
];

/** Ends all processes and starts the former owner's entry again; returns its id. */
async function losePower(world: JobWorld): Promise<string> {
  const ownerId = world.ownerId() ?? '';
  [...world.entries.keys()].forEach((entryId) => world.killEntry(entryId));
  await world.run(RESTART_MS);
  world.startEntry(ownerId);
  return ownerId;
}

/** Runs while callers call every entry, until `fromMs` only if it is given. */
function callPeriodically(world: JobWorld, fromMs = 0): void {
  const startMs = world.clock.monotonicMs();
  world.clock.every(CALL_PERIOD_MS, () => {
    if (world.clock.monotonicMs() - startMs < fromMs) return;
    world.entries.forEach((entry) => {
      if (!entry.isOwner) void entry.refreshOwner();
    });
  });
}

async function assertOwned(t: Test, world: JobWorld, what: string): Promise<void> {
  t.ok(await world.runUntil(() => world.owner !== undefined, OWNER_BOUND_MS), what);
}

describe('an entry that is left alone after a loss of power', () => {
  OUTAGES.forEach(({ name, faults, hasEnd }) => {
    describe(`when the store ${name}`, () => {
      [0, 400, 1_000, OUTAGE_MS + 300, OUTAGE_MS + 2_000].forEach((callsFromMs) => {
        it(`claims the journal with calls from ${callsFromMs} ms on`, async (t) => {
          // Fails if a later process of the announced owner's entry never counts as its successor.
          const world = await createWorld();
          await submit(world, 'a');
          Object.assign(world.store.faults, faults);
          callPeriodically(world, callsFromMs);
          await losePower(world);
          await world.run(OUTAGE_MS - RESTART_MS);
          if (hasEnd) Object.assign(world.store.faults, CALM_STORE);
          await assertOwned(t, world, 'there is an owner');
          Object.assign(world.store.faults, CALM_STORE);
          await assertCompletes(t, world, ['a']);
        });
      });
    });
  });

  it('claims the journal again after each of several losses', async (t) => {
    const world = await createWorld();
    callPeriodically(world);
    for (let loss = 0; loss < 3; loss += 1) {
      world.store.faults.isDown = true;
      await losePower(world);
      await world.run(OUTAGE_MS);
      Object.assign(world.store.faults, CALM_STORE);
      await assertOwned(t, world, `after loss ${loss}`);
      await world.run(500);
    }
  });

  [324, 675, 1_350].forEach((cpuMilli) => {
    it(`claims the journal with ${cpuMilli} thousandths of a core, of 675 before`, async (t) => {
      const world = await createWorld();
      callPeriodically(world);
      const ownerId = world.ownerId() ?? '';
      world.store.faults.isDown = true;
      [...world.entries.keys()].forEach((entryId) => world.killEntry(entryId));
      await world.run(RESTART_MS);
      world.startEntry(ownerId, cpuMilli);
      await world.run(OUTAGE_MS);
      Object.assign(world.store.faults, CALM_STORE);
      await assertOwned(t, world, 'there is an owner');
    });
  });

  it('keeps the journal when the other entries come back seconds later', async (t) => {
    // Fails if the entries claim the journal in turn.
    const world = await createWorld();
    callPeriodically(world);
    const others = [...world.entries.keys()].filter((entryId) => entryId !== world.ownerId());
    world.store.faults.isDown = true;
    const ownerId = await losePower(world);
    await world.run(OUTAGE_MS);
    Object.assign(world.store.faults, CALM_STORE);
    await assertOwned(t, world, 'there is an owner');
    others.forEach((entryId) => world.startEntry(entryId));
    const hasChanged = await world.runUntil(() => world.ownerId() !== ownerId, 5_000);
    t.notOk(hasChanged, 'the owner stays');
    void world.submit('b', { steps: ONE_STEP });
    await assertCompletes(t, world, ['b']);
  });
});

describe('an owner whose process crashes again and again', () => {
  [true, false].forEach((isSeen) => {
    const how = isSeen ? 'seen at once' : 'seen by its next process only';
    it(`does not get the journal back ahead of healthy entries if its end is ${how}`, async (t) => {
      // Fails if the choice of a successor treats a process that has just started like any other.
      const world = await createWorld();
      callPeriodically(world);
      for (let crash = 0; crash < 4; crash += 1) {
        const crashing = world.ownerId() ?? '';
        world.killEntry(crashing);
        await world.run(isSeen ? RESTART_MS : 5);
        world.startEntry(crashing);
        await assertOwned(t, world, `after crash ${crash}`);
        t.not(world.ownerId(), crashing, `after crash ${crash}`);
        await world.run(4_000);
        t.not(world.ownerId(), crashing, `4 s after crash ${crash}`);
      }
    });
  });
});
