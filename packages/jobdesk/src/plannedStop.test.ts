/**
 * Scenarios of a planned stop of the owner, whose successor reads the journal beforehand: how long nobody
 * owns it, and what happens if the successor can't prepare.
 */
import { type StoreFaults } from '@acaciadock/coordinator/testing';
import { describe, it } from '@acaciadock/core/testing';
import { type Test } from 'tap';
import { type JobWorld } from './testing/JobWorld.js';
import { assertCompletes, createWorld, submit, TWO_STEPS } from './testing/takeoverHelpers.js';

/** An owner that stops releases the journal within this time, in milliseconds. */
const MAX_RELEASE_MS = 2_500;

const SUCCESSOR_ID = 'e1';

interface PlannedStop {
  readonly world: JobWorld;
  /** Time from the request to stop to the release, in milliseconds. */
  readonly releasedAfterMs: number;
  /** Time from the release to the next owner, in milliseconds. */
  readonly gapMs: number;
}

/** Stops the owner, the entry `e0`, while a job runs, and 20 ms later calls `disturb`. */
async function stopOwner(
  t: Test,
  disturb: (world: JobWorld) => unknown,
  change: Partial<StoreFaults> = {},
): Promise<PlannedStop> {
  const world = await createWorld({ entryCount: 5, runtimeMs: 900 });
  await submit(world, 'a', TWO_STEPS);
  const previousId = world.ownerId() ?? '';
  t.equal(previousId, 'e0');
  // Loads take long enough for the disturbance to fall into them.
  world.entries.forEach(({ storeFaults }) => Object.assign(storeFaults, { loadMs: 400 }));
  Object.assign(world.entries.get(SUCCESSOR_ID)?.storeFaults ?? {}, change);
  const startMs = world.clock.monotonicMs();
  void world.entries.get(previousId)?.leave();
  await world.run(20);
  disturb(world);
  await world.runUntil(() => world.ownerId() !== previousId, 4_000);
  const releasedMs = world.clock.monotonicMs();
  await world.runUntil(() => world.ownerId() !== undefined, 8_000);
  const gapMs = world.clock.monotonicMs() - releasedMs;
  return { world, releasedAfterMs: releasedMs - startMs, gapMs };
}

const nothing = (): void => undefined;

describe('planned stop of the owner', () => {
  it('leaves the successor no more to read than the tail', async (t) => {
    // Fails if the journal is read as a whole after the release, as nobody serves the callers then.
    const { world, gapMs } = await stopOwner(t, nothing);
    t.ok(gapMs <= 50, `${gapMs} ms`);
    t.equal(world.ownerId(), SUCCESSOR_ID);
    await assertCompletes(t, world, ['a']);
    t.equal(world.observer.startsOf('a.0.0.0'), 1, 'adopted instead of run again');
  });

  it('keeps what is accepted while the successor reads the journal', async (t) => {
    // Fails if the successor owns the journal with a copy that lacks its last records.
    const disturb = (world: JobWorld): void => {
      for (let index = 0; index < 12; index += 1) {
        world.clock.after(index * 40, () => {
          void world.submit(`b${index}`, { steps: TWO_STEPS });
        });
      }
    };
    const { world } = await stopOwner(t, disturb);
    t.ok(world.accepted.size > 8, `${world.accepted.size} accepted`);
    await assertCompletes(t, world, ['a', ...world.accepted]);
  });

  const failures: readonly {
    readonly name: string;
    readonly faults?: Partial<StoreFaults>;
    readonly disturb?: (world: JobWorld) => unknown;
  }[] = [
    { name: 'gets no answer from the store', faults: { stallsLoads: true } },
    { name: 'is turned away by the store', faults: { isDown: true } },
    { name: 'dies', disturb: (world) => world.killEntry(SUCCESSOR_ID) },
    { name: 'stops as well', disturb: (world) => world.entries.get(SUCCESSOR_ID)?.leave() },
  ];
  failures.forEach(({ name, faults, disturb }) => {
    it(`goes ahead if the successor ${name} while it prepares`, async (t) => {
      const stop = await stopOwner(t, disturb ?? nothing, faults);
      t.ok(stop.releasedAfterMs <= MAX_RELEASE_MS, `released after ${stop.releasedAfterMs} ms`);
      t.ok(stop.gapMs <= 4_000, `${stop.gapMs} ms without an owner`);
      await assertCompletes(t, stop.world, ['a']);
    });
  });
});
