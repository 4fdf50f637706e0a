/**
 * Targets that are ejected while others of their pool can't take tasks. Guards against a pool whose
 * only targets that answer are all left out: the limit on the ejected share must not count the others.
 */
import { describe, it } from '@acaciadock/core/testing';
import { RecordingLogger } from '@acaciadock/coordinator/testing';
import { type Test } from 'tap';
import { type JobWorld } from './testing/JobWorld.js';
import { createWorld, type StepInput } from './testing/takeoverHelpers.js';

/** A job starts within this time if there is room, in milliseconds. */
const START_MS = 1_000;

const STEP: StepInput = { taskCount: 6, cpuMilli: 500 };

const isEjected = (logger: RecordingLogger): boolean => logger.events.includes('target-ejected');

/** Lets the first target stall until it is ejected. */
async function ejectFirst(t: Test, world: JobWorld, logger: RecordingLogger): Promise<void> {
  const first = world.targets.get('t0');
  Object.assign(first ?? {}, { isStalling: true });
  for (let index = 0; index < 40 && !isEjected(logger); index += 1) {
    void world.submit(`before${index}`, { steps: [STEP] });
    await world.run(500);
  }
  t.ok(isEjected(logger), 'the stalling target is ejected');
  Object.assign(first ?? {}, { isStalling: false });
}

async function assertStarts(t: Test, world: JobWorld): Promise<void> {
  void world.submit('after', { steps: [{ taskCount: 1, cpuMilli: 100 }] });
  const isStarted = await world.runUntil(
    () => world.observer.startsOf('after.0.0.0') > 0,
    START_MS,
  );
  t.ok(isStarted, `starts within ${START_MS} ms`);
}

describe('an ejected target', () => {
  it('takes tasks if all others of its pool have crashed', async (t) => {
    const logger = new RecordingLogger();
    const world = await createWorld({ targetCount: 3, runtimeMs: 200, logger });
    await ejectFirst(t, world, logger);
    ['t1', 't2'].forEach((targetId) => world.targets.get(targetId)?.crash());
    await world.run(600);
    await assertStarts(t, world);
  });

  it('takes tasks if all others of its pool are draining', async (t) => {
    const logger = new RecordingLogger();
    const world = await createWorld({ targetCount: 3, runtimeMs: 200, logger });
    await ejectFirst(t, world, logger);
    ['t1', 't2'].forEach((targetId) =>
      Object.assign(world.targets.get(targetId) ?? {}, { isDraining: true }),
    );
    await world.run(600);
    await assertStarts(t, world);
  });
});
