/**
 * Plays the arrivals of a busy fleet through an outage of the store and through lost answers, and
 * checks what each caller gets.
 */
import { type StoreFaults } from '@acaciadock/coordinator/testing';
import { describe, it } from '@acaciadock/core/testing';
import { ONE_TASK, createWorld } from './testing/takeoverHelpers.js';
import { type JobWorld } from './testing/JobWorld.js';
import { RetryingCaller } from './testing/RetryingCaller.js';

/** About 100 submissions a second, the heaviest rate of the deployments. */
const ARRIVAL_MS = 10;

const BEFORE_MS = 500;
const AFTER_MS = 500;
const SETTLE_MS = 20_000;
const RUNTIME_MS = 100;

/** Submissions that one append can hold at the arrival rate: an answer takes 4 ms, a pass 2 ms. */
const MAX_UNKNOWN = 3;

async function submitFor(
  world: JobWorld,
  caller: RetryingCaller,
  durationMs: number,
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += ARRIVAL_MS) {
    void caller.submit(`j${Math.round(world.clock.monotonicMs())}`);
    await world.run(ARRIVAL_MS);
  }
}

async function playOutage(faults: Partial<StoreFaults>, outageMs: number): Promise<RetryingCaller> {
  const world = await createWorld({ runtimeMs: RUNTIME_MS });
  const caller = new RetryingCaller(world, { steps: ONE_TASK });
  await submitFor(world, caller, BEFORE_MS);
  const calm = { ...world.store.faults };
  Object.assign(world.store.faults, faults);
  await submitFor(world, caller, outageMs);
  Object.assign(world.store.faults, { isSilent: false, ...calm });
  await submitFor(world, caller, AFTER_MS);
  await world.run(SETTLE_MS);
  return caller;
}

describe('callers during an outage of the store', () => {
  [2_000, 4_000, 6_000].forEach((outageMs) => {
    it(`are all served after the store has rejected calls for ${outageMs} ms`, async (t) => {
      const caller = await playOutage({ isDown: true }, outageMs);
      t.same(caller.refused, []);
      t.equal(caller.unknown.size, 0, 'each got a certain answer');
    });

    it(`are all served after the store was silent for ${outageMs} ms`, async (t) => {
      const caller = await playOutage({ isSilent: true }, outageMs);
      t.same(caller.refused, []);
      t.ok(caller.unknown.size <= MAX_UNKNOWN, `${caller.unknown.size} got no certain answer`);
    });
  });
});

describe('callers while half of the answers of the store are lost', () => {
  /** Share of the calm rate of acceptances that goes on. */
  const MIN_RATE_SHARE = 0.8;
  const DURATION_MS = 5_000;

  async function acceptancesWith(lostAnswerShare: number): Promise<number> {
    const world = await createWorld({ runtimeMs: RUNTIME_MS });
    const caller = new RetryingCaller(world, { steps: ONE_TASK });
    Object.assign(world.store.faults, { lostAnswerShare });
    await submitFor(world, caller, DURATION_MS);
    const { size } = caller.acceptedMs;
    Object.assign(world.store.faults, { lostAnswerShare: 0 });
    await world.run(SETTLE_MS);
    return size;
  }

  it('are accepted at 0.8 of the calm rate or more', async (t) => {
    const calm = await acceptancesWith(0);
    const lossy = await acceptancesWith(0.5);
    t.ok(lossy >= calm * MIN_RATE_SHARE, `${lossy} against ${calm}`);
  });
});
