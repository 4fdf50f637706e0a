/**
 * Loads beyond the room of a pool. Checks that admission control lets more jobs end in time, refuses
 * nothing while an instance is free, and that a team at several times its load costs others nothing.
 */
import { describe, it } from '@acaciadock/core/testing';
import { play, total } from './testing/overloadPlay.js';
import { type JobWorld } from './testing/JobWorld.js';

describe('five times the load that the pool has room for', () => {
  const jobsPerS = { a: 8, b: 6, c: 4, d: 2 };

  it('ends more jobs in time with admission control, and refuses none with room', async (t) => {
    // Fails if jobs that can't end in time take the room of those that could.
    const entitled = { a: 8, b: 6, c: 4, d: 2 };
    const without = await play(jobsPerS, entitled, { refusesOverload: false });
    const guarded = await play(jobsPerS, entitled);
    const figures = [total(without.play.inTime), total(guarded.play.inTime)];
    t.ok((figures[1] ?? 0) > (figures[0] ?? 0), `in time without and with: ${figures.join(', ')}`);
    t.ok(guarded.play.refusals > 0, `${guarded.play.refusals} refusals`);
    t.equal(guarded.play.refusalsWithRoom, 0);
    t.equal(without.play.refusals, 0);
    t.same(guarded.world.observer.broken, []);
  });
});

describe('planned stops of the owner at the load that the pool has room for', () => {
  const jobsPerS = { a: 1.6, b: 1.2, c: 0.8, d: 0.4 };
  const weights = { a: 8, b: 6, c: 4, d: 2 };

  it('keep nine of ten callers in time whom a steady owner would serve in time', async (t) => {
    // Fails if a new owner is late to take over, or orders the queue by runtimes of adopted runs.
    const stopOwners = (world: JobWorld): void => {
      [3_000, 6_000, 9_000].forEach((atMs) => {
        world.clock.after(atMs, () => {
          void world.entries.get(world.ownerId() ?? '')?.leave();
        });
      });
    };
    const steady = await play(jobsPerS, weights, { entryCount: 5 });
    const stopped = await play(jobsPerS, weights, { entryCount: 5 }, stopOwners);
    const figures = [total(steady.play.inTime), total(stopped.play.inTime)];
    const [wanted = 0, actual = 0] = figures;
    t.ok(wanted > 0 && actual >= 0.9 * wanted, `in time without and with: ${figures.join(', ')}`);
    t.same(stopped.world.observer.broken, []);
  });
});

describe('a team at six times its usual load', () => {
  it('changes the in-time share of the others by at most 0.01', async (t) => {
    const weights = { hot: 1, b: 2, c: 2 };
    const shareOfOthers = async (hot: number): Promise<number> => {
      const { inTime, sent } = (await play({ hot, b: 1, c: 1 }, weights)).play;
      const ofOthers = (counts: ReadonlyMap<string, number>): number =>
        (counts.get('b') ?? 0) + (counts.get('c') ?? 0);
      return ofOthers(inTime) / ofOthers(sent);
    };
    const usual = await shareOfOthers(1);
    const busy = await shareOfOthers(6);
    t.ok(usual > 0.9, `${usual} at the usual load`);
    t.ok(Math.abs(usual - busy) <= 0.01, `${usual} and ${busy}`);
  });
});
