/** An owner whose process is paused for seconds while no other entry can take over. */
import { describe, it } from '@acaciadock/core/testing';
import { assertCompletes, createWorld, ONE_STEP, submit } from './testing/takeoverHelpers.js';

const PAUSE_MS = 8_000;
const START_TIMEOUT_MS = 2_000;

describe('pausedOwner', () => {
  [true, false].forEach((keepsTime) => {
    const time = keepsTime ? 'goes on' : 'stands still';
    it(`starts tasks on idle targets after a pause in which monotonic time ${time}`, async (t) => {
      // Fails if an idle target that refuses an order as `late` is not asked for its clock: the
      // owner then plans the task again and again and starts none.
      const world = await createWorld({ entryCount: 1 });
      await submit(world, 'a');
      await assertCompletes(t, world, ['a']);
      const owner = world.owner!;
      owner.clock.pause(keepsTime);
      await world.run(PAUSE_MS);
      owner.clock.resume();
      await world.runUntil(() => world.owner !== undefined, 5_000);
      await world.run(500);
      void world.submit('b', { steps: ONE_STEP });
      const isStarted = (): boolean => world.observer.startsOf('b.0.0.0') > 0;
      t.ok(await world.runUntil(isStarted, START_TIMEOUT_MS), 'a task has started');
      await assertCompletes(t, world, ['b']);
    });
  });
});
