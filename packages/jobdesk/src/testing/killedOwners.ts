/**
 * Plays a long-running task whose target is lost for good while the owner is killed, once or several
 * times in quick succession, and measures how soon the task runs elsewhere. All leases of a killed owner
 * have expired 5.1 s after its end: a lease of 5 s on the slowest clock.
 */
import { LONG_RUNNING_PREFIX } from '@acaciadock/coordinator/testing';
import { type Test } from 'tap';
import { type JobWorld } from './JobWorld.js';
import { createWorld, type StepInput } from './takeoverHelpers.js';

const TASK_ID = 'a.0.0.0';
const STEPS: readonly StepInput[] = [{ taskCount: 1, cpuMilli: 1_000, longRunning: true }];
const SETTLE_MS = 1_500;

/** Time from the end of a process to the next one of its entry, in milliseconds. */
const RESTART_MS = 1_000;

/** Between a takeover and the end of that owner: its first appends are durable, in milliseconds. */
const OWNED_MS = 50;

/** The same if its successor has noticed the takeover, in milliseconds. */
const WATCHED_MS = 2_000;

/**
 * A task that lasts may be away for 3 s that begin 6 s after its last run and 4 s after the last
 * disturbance, such as the end of a process, at the earliest; the sums of both, in milliseconds.
 */
const FROM_LAST_RUN_MS = 9_000;
const FROM_LAST_KILL_MS = 7_000;

const TIMEOUT_MS = 20_000;

async function createWorldWithLostTarget(): Promise<JobWorld> {
  const world = await createWorld({ entryCount: 5, targetCount: 3 });
  void world.submit('a', { spec: LONG_RUNNING_PREFIX, steps: STEPS });
  await world.run(SETTLE_MS);
  const busy = [...world.targets.values()].find(({ runningCount }) => runningCount > 0);
  busy?.crash();
  if (busy) busy.isListed = false;
  return world;
}

/** Kills the owner as soon as there is one; its entry starts again unless `isRestarted` is false. */
async function killOwner(world: JobWorld, isRestarted: boolean): Promise<void> {
  await world.runUntil(() => world.owner !== undefined, TIMEOUT_MS);
  await world.run(isRestarted ? OWNED_MS : WATCHED_MS);
  const ownerId = world.ownerId() ?? '';
  world.killEntry(ownerId);
  if (isRestarted) world.clock.after(RESTART_MS, () => world.startEntry(ownerId));
}

/** Checks when the task runs elsewhere after so many owners were killed, whose entries start again or not. */
export async function assertRunsInTime(
  t: Test,
  kills: number,
  isRestarted: boolean,
): Promise<void> {
  const world = await createWorldWithLostTarget();
  const lostMs = world.clock.monotonicMs();
  for (let kill = 1; kill <= kills; kill += 1) await killOwner(world, isRestarted);
  const killedMs = world.clock.monotonicMs();
  await world.runUntil(() => world.observer.startsOf(TASK_ID) > 1, TIMEOUT_MS);
  const nowMs = world.clock.monotonicMs();
  const boundMs = Math.max(lostMs + FROM_LAST_RUN_MS, killedMs + FROM_LAST_KILL_MS);
  t.ok(
    nowMs <= boundMs,
    `${nowMs - killedMs} ms after the last kill, ${nowMs - lostMs} ms without a run`,
  );
  t.same(world.observer.broken, [], 'no guarantee violated');
}
