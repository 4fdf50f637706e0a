/**
 * Plays the first turn of a pool, with and without the turn of another pool before it. Without one,
 * the pool keeps half of its initial instances until its own turn.
 */
import { describe, it } from '@acaciadock/core/testing';
import { type JobWorld } from './testing/JobWorld.js';
import { createWorld } from './testing/takeoverHelpers.js';

const INSTANCE_COUNT = 16;
const OTHER_POOL = 'other';
const RUNTIME_MS = 600;
const TURN_MS = 4_000;
const JOB_INTERVAL_MS = 50;

/** Until the pools have parked what they do not keep, in milliseconds. */
const SETTLE_MS = 3_000;

/** Time without work before the turn, in seconds. */
const IDLE_S = 2;

/** Time that a job may wait and still meet its objective: stretch 2 and 500 ms. */
const MAX_WAIT_MS = (2 - 1) * RUNTIME_MS + 500;

/** Submits a turn's jobs to the pool and returns the longest wait for a start, in milliseconds. */
async function playTurn(world: JobWorld, prefix: string, otherPoolId?: string): Promise<number> {
  const open = new Map<string, number>();
  let maxWaitMs = 0;
  for (let atMs = 0; atMs < TURN_MS; atMs += JOB_INTERVAL_MS) {
    const jobId = `${prefix}${atMs}`;
    const steps = [{ taskCount: 1, cpuMilli: 1_000, estimatedRuntimeMs: RUNTIME_MS }];
    void world.submit(jobId, { steps }, otherPoolId);
    open.set(jobId, world.clock.monotonicMs());
    await world.run(JOB_INTERVAL_MS);
    for (const [submitted, sinceMs] of open) {
      maxWaitMs = Math.max(maxWaitMs, world.clock.monotonicMs() - sinceMs);
      if (world.observer.startsOf(`${submitted}.0.0.0`) > 0) open.delete(submitted);
    }
  }
  return maxWaitMs;
}

async function playFirstTurn(
  hasTurnElsewhere: boolean,
): Promise<{ idleS: number; maxWaitMs: number; broken: readonly string[] }> {
  const world = await createWorld({
    targetCount: 0,
    instanceCount: INSTANCE_COUNT,
    spareCount: INSTANCE_COUNT,
    otherPoolIds: [OTHER_POOL],
    runtimeMs: RUNTIME_MS,
  });
  if (hasTurnElsewhere) await playTurn(world, 'a');
  else await world.run(TURN_MS);
  await world.run(SETTLE_MS);
  // The pool has no work, so all its instances are idle.
  let idleS = 0;
  for (let second = 0; second < IDLE_S; second += 1) {
    idleS += world.fleet?.countIn(OTHER_POOL) ?? 0;
    await world.run(1_000);
  }
  const maxWaitMs = await playTurn(world, 'b', OTHER_POOL);
  return { idleS, maxWaitMs, broken: world.observer.broken };
}

describe("the first turn of a pool, after another pool's", () => {
  it('meets the objective of its jobs with fewer idle instances before it', async (t) => {
    // Fails if the pool keeps half of its instances whatever the turns of others have shown, and if
    // it keeps fewer than the start of a turn needs.
    const alone = await playFirstTurn(false);
    const after = await playFirstTurn(true);
    t.equal(alone.idleS, (INSTANCE_COUNT / 2) * IDLE_S);
    t.ok(after.idleS < alone.idleS, `${after.idleS} idle instance-seconds before`);
    t.ok(after.maxWaitMs <= MAX_WAIT_MS, `a job waited ${after.maxWaitMs} ms`);
    t.ok(after.maxWaitMs <= alone.maxWaitMs, `${alone.maxWaitMs} ms with half of the instances`);
    t.same([...alone.broken, ...after.broken], []);
  });
});
