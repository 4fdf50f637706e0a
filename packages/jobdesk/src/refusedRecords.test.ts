/**
 * Records that the store refuses although they are not too large. Guards against one such record that stops
 * everything, under its owner and under each successor, and against a confirmation of what is not stored.
 */
import { describe, it } from '@acaciadock/core/testing';
import {
  assertCompletes,
  createWorld,
  ONE_STEP,
  statusOf,
  submit,
} from './testing/takeoverHelpers.js';

const REPLY_MS = 300;
const TIMEOUT_MS = 20_000;

describe('a submission whose definition the store refuses', () => {
  it('is refused at once, never runs, and others go on', async (t) => {
    const world = await createWorld({ refusesOverload: false });
    world.store.invalidKeys.add('definition/bad');
    const reply = world.call('bad', { steps: ONE_STEP });
    await submit(world, 'good');
    await world.run(REPLY_MS);
    t.match(await reply, { kind: 'refused' });
    t.ok(world.accepted.has('good'));
    await assertCompletes(t, world, ['good']);
    t.equal(world.observer.startsOf('bad.0.0.0'), 0);
    t.equal(await statusOf(world, 'bad'), 'unknown-job');
  });
});

describe('a job whose progress the store refuses from some time on', () => {
  it('holds up no other job, and goes on once the store takes it', async (t) => {
    const world = await createWorld({ refusesOverload: false, runtimeMs: 300 });
    await submit(world, 'bad');
    world.store.invalidKeys.add('progress/bad');
    await world.run(1_000);
    for (const jobId of ['a', 'b', 'c']) await submit(world, jobId);
    await assertCompletes(t, world, ['a', 'b', 'c']);
    t.equal(await statusOf(world, 'bad'), 'running', 'its end is not shown before it is durable');
    world.store.invalidKeys.clear();
    await assertCompletes(t, world, ['bad']);
  });

  it('holds up no successor', async (t) => {
    const world = await createWorld({ refusesOverload: false, runtimeMs: 300 });
    await submit(world, 'bad');
    world.store.invalidKeys.add('progress/bad');
    await world.run(1_000);
    world.killEntry(world.ownerId() ?? '');
    await world.runUntil(() => world.owner !== undefined, TIMEOUT_MS);
    await world.run(500);
    await submit(world, 'a');
    await assertCompletes(t, world, ['a']);
    world.store.invalidKeys.clear();
    await assertCompletes(t, world, ['bad']);
  });

  it('confirms no cancel before it is durable', async (t) => {
    const world = await createWorld({ refusesOverload: false, runtimeMs: 5_000 });
    await submit(world, 'bad');
    world.store.invalidKeys.add('progress/bad');
    const cancelled = world.cancel('bad');
    await world.run(2_000);
    t.match(await cancelled, { kind: 'unknown-outcome' });
    world.store.invalidKeys.clear();
    await world.run(1_500);
    t.equal(await statusOf(world, 'bad'), 'cancelled');
  });
});
