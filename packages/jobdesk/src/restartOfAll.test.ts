/**
 * Scenarios in which every entry starts again at once, as after a loss of power. The entries differ in
 * CPU and link: a weak one may be up first, and takes seconds to load the journal. Nobody serves the
 * callers before an owner has loaded it.
 */
import { RecordingLogger } from '@acaciadock/coordinator/testing';
import { type Logger, SilentLogger } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type Test } from 'tap';
import { DEFAULT_WORLD, JobWorld } from './testing/JobWorld.js';
import { assertCompletes, statusOf, submit } from './testing/takeoverHelpers.js';

const WEAK_CPU_MILLI = 324;
const STRONG_CPU_MILLI = 1_350;

/** Time to load the journal over a slow link and over a fast one, in milliseconds. */
const WEAK_LOAD_MS = 7_000;
const STRONG_LOAD_MS = 100;

const WEAK_COUNT = 36;
const STRONG_COUNT = 6;

/** Interval between the starts of two weak entries and the next two: 0.27 s for all, in milliseconds. */
const START_INTERVAL_MS = 15;

/** Bound on the time from the strongest entry's start to a working owner, in milliseconds. */
const OWNER_BOUND_MS = 500;

function startWeak(world: JobWorld, entryId: string): void {
  const { storeFaults } = world.startEntry(entryId, WEAK_CPU_MILLI);
  storeFaults.loadMs = WEAK_LOAD_MS;
}

function startStrong(world: JobWorld, entryId: string): void {
  const { storeFaults } = world.startEntry(entryId, STRONG_CPU_MILLI);
  storeFaults.loadMs = STRONG_LOAD_MS;
}

function createEmptyWorld(seed: number, logger: Logger = new SilentLogger()): JobWorld {
  return new JobWorld({ ...DEFAULT_WORLD, seed, entryCount: 0, runtimeMs: 400, logger });
}

/** A world whose strong owner has accepted a job before all entries lost power. */
async function createDarkWorld(seed: number): Promise<JobWorld> {
  const world = createEmptyWorld(seed);
  startStrong(world, 's0');
  await world.runUntil(() => world.owner !== undefined, 3_000);
  await submit(world, 'a');
  world.killEntry('s0');
  await world.run(1_100);
  return world;
}

async function msUntilOwner(world: JobWorld, maxMs: number): Promise<number> {
  const sinceMs = world.clock.monotonicMs();
  await world.runUntil(() => world.owner !== undefined, maxMs);
  return world.clock.monotonicMs() - sinceMs;
}

async function assertOneOwner(t: Test, world: JobWorld): Promise<void> {
  await assertCompletes(t, world, ['a']);
  const owners = [...world.entries.values()].filter((entry) => entry.isOwner);
  t.equal(owners.length, 1, 'one owner');
}

describe('restart of all entries', () => {
  describe('when the strongest entries start last', () => {
    it('has a working owner within 0.5 seconds of the first strong one', async (t) => {
      // Fails if a weak entry that sees no stronger member yet claims the journal and loads it.
      for (let seed = 1; seed <= 6; seed += 1) {
        const world = await createDarkWorld(seed);
        for (let index = 0; index < WEAK_COUNT; index += 2) {
          startWeak(world, `w${index}`);
          startWeak(world, `w${index + 1}`);
          await world.run(START_INTERVAL_MS);
        }
        for (let index = 0; index < STRONG_COUNT; index += 1) startStrong(world, `s${index}`);
        const tookMs = await msUntilOwner(world, 9_000);
        t.ok(tookMs <= OWNER_BOUND_MS, `seed ${seed}: ${tookMs} ms`);
        await assertOneOwner(t, world);
      }
    });
  });

  describe('when they start before the memberships of their former processes expire', () => {
    it('has a working owner within 0.5 seconds', async (t) => {
      // Fails if the end of the former owner shows only in the list of members, which does not name
      // the new processes while the former ones hold their places.
      for (let offMs = 300; offMs <= 900; offMs += 150) {
        const world = createEmptyWorld(1);
        const strongIds = Array.from({ length: STRONG_COUNT }, (_, index) => `s${index}`);
        const weakIds = Array.from({ length: WEAK_COUNT }, (_, index) => `w${index}`);
        strongIds.forEach((entryId) => startStrong(world, entryId));
        weakIds.forEach((entryId) => startWeak(world, entryId));
        await world.runUntil(() => world.owner !== undefined, 3_000);
        await submit(world, 'a');
        await world.run(1_000);
        [...weakIds, ...strongIds].forEach((entryId) => world.killEntry(entryId));
        await world.run(offMs);
        weakIds.forEach((entryId) => startWeak(world, entryId));
        await world.run(START_INTERVAL_MS);
        strongIds.forEach((entryId) => startStrong(world, entryId));
        const tookMs = await msUntilOwner(world, 9_000);
        t.ok(tookMs <= OWNER_BOUND_MS, `${offMs} ms without power: ${tookMs} ms`);
        await assertOneOwner(t, world);
      }
    });
  });

  describe('when strong entries start one after the other', () => {
    it('leaves the claim to the one that loads the journal', async (t) => {
      // Fails if a claimant that the store doesn't list yet counts as gone: each entry then claims in
      // turn, and the load of the one before it is lost.
      for (let offMs = 300; offMs <= 1_200; offMs += 150) {
        const logger = new RecordingLogger();
        const world = createEmptyWorld(1, logger);
        const strongIds = Array.from({ length: STRONG_COUNT }, (_, index) => `s${index}`);
        strongIds.forEach((entryId) => startStrong(world, entryId));
        await world.runUntil(() => world.owner !== undefined, 3_000);
        await submit(world, 'a');
        await world.run(1_000);
        strongIds.forEach((entryId) => world.killEntry(entryId));
        await world.run(offMs);
        const unusedBefore = logger.of('claim-unused').length;
        // The entry that comes first by name starts last.
        for (const entryId of [...strongIds].reverse()) {
          const { storeFaults } = world.startEntry(entryId, STRONG_CPU_MILLI);
          storeFaults.loadMs = 4 * STRONG_LOAD_MS;
          await world.run(60);
        }
        const tookMs = await msUntilOwner(world, 9_000);
        t.ok(
          tookMs <= OWNER_BOUND_MS,
          `${offMs} ms without power: ${tookMs} ms after the last start`,
        );
        t.equal(logger.of('claim-unused').length - unusedBefore, 0, 'no claim after claim');
        await assertOneOwner(t, world);
      }
    });
  });

  describe('when a strong entry starts while a weak one loads the journal', () => {
    it('takes the claim over', async (t) => {
      // Fails if a claim that is announced but not loaded keeps every other entry waiting.
      for (let seed = 1; seed <= 6; seed += 1) {
        const world = await createDarkWorld(seed);
        startWeak(world, 'w0');
        await world.run(2_000 + 90 * seed);
        startStrong(world, 's1');
        const tookMs = await msUntilOwner(world, 9_000);
        t.ok(tookMs <= OWNER_BOUND_MS, `seed ${seed}: ${tookMs} ms`);
        t.equal(world.ownerId(), 's1');
        await assertOneOwner(t, world);
      }
    });
  });

  describe('when only a weak entry starts', () => {
    it('owns the journal and serves', async (t) => {
      const world = await createDarkWorld(1);
      startWeak(world, 'w0');
      const tookMs = await msUntilOwner(world, 12_000);
      t.ok(tookMs <= WEAK_LOAD_MS + 1_500, `${tookMs} ms`);
      t.not(await statusOf(world, 'a'), 'nobody');
      await assertOneOwner(t, world);
    });
  });

  describe('when the load of a claim never ends', () => {
    it('lets another entry of the same CPU own the journal', async (t) => {
      // Fails if the claimant keeps the claim although it will never own the journal.
      const world = await createDarkWorld(1);
      world.startEntry('s1', STRONG_CPU_MILLI).storeFaults.stallsLoads = true;
      await world.run(100);
      startStrong(world, 's2');
      const tookMs = await msUntilOwner(world, 20_000);
      t.ok(tookMs <= 4_000, `${tookMs} ms`);
      await assertOneOwner(t, world);
    });

    it('repeats the load if no other entry is there', async (t) => {
      const world = await createDarkWorld(1);
      const entry = world.startEntry('s1', STRONG_CPU_MILLI);
      entry.storeFaults.stallsLoads = true;
      await world.run(6_000);
      entry.storeFaults.stallsLoads = false;
      t.ok((await msUntilOwner(world, 20_000)) <= 4_000);
      await assertOneOwner(t, world);
    });
  });
});
