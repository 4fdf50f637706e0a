/** What owners learn of runtimes around a change of owner; queues are ordered and pools sized by it. */
import { describe, it } from '@acaciadock/core/testing';
import { RUNTIMES_KEY } from '@acaciadock/coordinator/testing';
import { type JobWorld } from './testing/JobWorld.js';
import { createWorld, ONE_STEP, submit } from './testing/takeoverHelpers.js';

const RUNTIME_MS = 1_000;

/** Mean runtime in the journal, in milliseconds; undefined if nothing was learned yet. */
function journaledMeanMs(world: JobWorld): number | undefined {
  const value = world.store.newest().records.find(({ key }) => key === RUNTIMES_KEY)?.value;
  if (!value) return undefined;
  const [queue] = JSON.parse(value.toString('utf8')) as readonly { readonly meanMs: number }[];
  return queue?.meanMs;
}

async function handOver(world: JobWorld): Promise<void> {
  const previousId = world.ownerId();
  void world.entries.get(previousId ?? '')?.leave();
  await world.runUntil(() => (world.ownerId() ?? previousId) !== previousId, 5_000);
}

describe('learned runtimes', () => {
  it('do not count the rest of an adopted run as its runtime', async (t) => {
    // Fails if runs of 4 s that are adopted after a third count as runs of the rest.
    const runtimeMs = 4 * RUNTIME_MS;
    const world = await createWorld({ runtimeMs, targetCount: 8 });
    for (const jobId of ['a', 'b', 'c', 'd']) await submit(world, jobId, ONE_STEP);
    await world.run(300);
    await handOver(world);
    t.equal(world.runningCount, 16, 'adopted while they run');
    await world.run(6_000);
    t.equal(journaledMeanMs(world), undefined, 'no runtime was seen in full');
    await submit(world, 'e', ONE_STEP);
    await world.run(6_000);
    const meanMs = journaledMeanMs(world) ?? 0;
    t.ok(meanMs >= runtimeMs / 2 && meanMs <= 2 * runtimeMs, `${meanMs} ms`);
    t.same(world.observer.broken, []);
  });

  it('survive a change of owner', async (t) => {
    // Fails if a new owner starts from declared runtimes, which are off by several times.
    const world = await createWorld({ runtimeMs: RUNTIME_MS, targetCount: 8 });
    for (const jobId of ['a', 'b', 'c', 'd']) await submit(world, jobId, ONE_STEP);
    await world.run(4_000);
    const learnedMs = journaledMeanMs(world) ?? 0;
    await handOver(world);
    await submit(world, 'e', [{ taskCount: 1, cpuMilli: 1_000 }]);
    await world.run(4_000);
    const meanMs = journaledMeanMs(world) ?? 0;
    t.ok(Math.abs(meanMs - learnedMs) < learnedMs * 0.1, `${learnedMs} ms, then ${meanMs} ms`);
  });
});
