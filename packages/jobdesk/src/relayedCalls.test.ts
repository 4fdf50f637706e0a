/** Guards the promises for jobs while other entries relay the calls of a busy owner to targets. */
import { Random } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type JobWorld, type JobWorldOptions } from './testing/JobWorld.js';
import { runSchedule } from './testing/runSchedule.js';
import {
  assertCompletes,
  createWorld,
  statusOf,
  submit,
  TWO_STEPS,
} from './testing/takeoverHelpers.js';

const BUSY: Partial<JobWorldOptions> = { ownerBusyShare: 0.9, hasRelays: true };

/** Time in which an owner notices its load and opens the links, in milliseconds. */
const OPEN_MS = 1_000;

/** Time until an unanswered call counts as lost, in milliseconds, and a start elsewhere may follow. */
const SILENCE_MS = 1_000;

const FIRST_SEED = 20_261_205;
const SCHEDULE_COUNT = 25;

async function createBusyWorld(change: Partial<JobWorldOptions> = {}): Promise<JobWorld> {
  const world = await createWorld({ entryCount: 4, ...BUSY, ...change });
  await world.run(OPEN_MS);
  return world;
}

function holdsOf(world: JobWorld): { owner: number; others: number } {
  const ownerId = world.ownerId();
  const holds = { owner: 0, others: 0 };
  world.entries.forEach(({ port }, entryId) => {
    holds[entryId === ownerId ? 'owner' : 'others'] += port.holdCount;
  });
  return holds;
}

describe('relayed calls to targets', () => {
  it('are made by other entries than a busy owner', async (t) => {
    // Fails if the owner still makes the exchanges with targets itself.
    const world = await createBusyWorld();
    const before = holdsOf(world);
    await submit(world, 'a', TWO_STEPS);
    await assertCompletes(t, world, ['a']);
    const after = holdsOf(world);
    t.equal(after.owner, before.owner, 'none by the owner');
    t.ok(after.others > before.others, `${after.others} by others`);
  });

  it('are made by the owner itself while it is at ease', async (t) => {
    const world = await createBusyWorld({ ownerBusyShare: 0.3 });
    await submit(world, 'a', TWO_STEPS);
    await assertCompletes(t, world, ['a']);
    t.equal(holdsOf(world).others, 0);
  });

  const relaysOf = (world: JobWorld) =>
    [...world.entries].filter(([entryId]) => entryId !== world.ownerId());

  it('are made directly within the time of a silence once the relays have frozen', async (t) => {
    // Fails if targets count as lost, or orders of the past are carried out, because a relay froze.
    const world = await createBusyWorld();
    relaysOf(world).forEach(([, entry]) => entry.clock.pause());
    await submit(world, 'a', TWO_STEPS);
    const isStarted = await world.runUntil(() => world.runningCount > 0, SILENCE_MS);
    t.ok(isStarted, 'starts while its relays are frozen');
    await world.run(2_000);
    relaysOf(world).forEach(([, entry]) => entry.clock.resume());
    await assertCompletes(t, world, ['a']);
    t.equal(world.observer.startsOf('a.0.0.0'), 1, 'run once');
  });

  it('are made directly to a target that its relay does not reach', async (t) => {
    // Fails if the targets of a relay that is cut off from them count as lost.
    const world = await createBusyWorld({ runtimeMs: 2_000 });
    await submit(world, 'a', TWO_STEPS);
    relaysOf(world).forEach(([, { portFaults }]) =>
      world.targets.forEach((_, targetId) => portFaults.cutTargets.add(targetId)),
    );
    await world.run(SILENCE_MS);
    await submit(world, 'b', TWO_STEPS);
    const hasStarted = () => world.observer.startsOf('b.0.0.0') > 0;
    t.ok(await world.runUntil(hasStarted, SILENCE_MS), 'new work starts');
    await assertCompletes(t, world, ['a', 'b']);
    t.equal(world.observer.startsOf('a.0.0.0'), 1, 'run once');
  });

  it('are made directly if messages to the relays take too long', async (t) => {
    // Fails if no report arrives while each batch has expired on its arrival at an open relay.
    const world = await createBusyWorld({ relayLatencyMs: 110 });
    await submit(world, 'a', TWO_STEPS);
    await world.run(4_000);
    t.equal(await statusOf(world, 'a'), 'completed');
    t.equal(world.observer.startsOf('a.0.0.0'), 1, 'run once');
  });

  it('do not end runs or restart them when all relays are killed', async (t) => {
    const world = await createBusyWorld({ runtimeMs: 2_000 });
    await submit(world, 'a', TWO_STEPS);
    relaysOf(world).forEach(([entryId]) => world.killEntry(entryId));
    await assertCompletes(t, world, ['a']);
    t.equal(world.observer.startsOf('a.0.0.0'), 1, 'run once');
  });

  it('outlive no owner: the next one starts nothing twice', async (t) => {
    const world = await createBusyWorld({ runtimeMs: 1_500 });
    await submit(world, 'a', TWO_STEPS);
    const owner = world.entries.get(world.ownerId() ?? '');
    owner?.clock.pause();
    await world.run(3_000);
    owner?.clock.resume();
    await assertCompletes(t, world, ['a']);
  });

  it(`keep the guarantees in random schedules (${SCHEDULE_COUNT} seeds from ${FIRST_SEED})`, async (t) => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULE_COUNT; seed += 1) {
      const disturbances = new Random(seed + 1);
      const found = await runSchedule(new Random(seed), seed, true, 1, disturbances, BUSY);
      t.same(found, [], `seed ${seed}`);
    }
  });
});
