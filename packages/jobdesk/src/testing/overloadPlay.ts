/** Plays loads of two-step jobs beyond the room of a pool, and counts the ends in time. */
import { type JobWorld, type JobWorldOptions } from './JobWorld.js';
import { createWorld, type StepInput } from './takeoverHelpers.js';

/** Eight tasks of a core each, in two steps. The four targets have 16 cores: room for 4 jobs a second. */
const STEPS: readonly StepInput[] = [
  { taskCount: 4, cpuMilli: 1_000 },
  { taskCount: 4, cpuMilli: 1_000, afterSteps: [0] },
];
const RUNTIME_MS = 500;

/** `stretch` 2 times two steps, plus the target latency of the world's queue, in milliseconds. */
const OBJECTIVE_MS = 2 * 2 * RUNTIME_MS * 1.1 + 500;
const PLAYED_MS = 12_000;
const POLL_MS = 50;
const MAX_TRIES = 4;
const PATIENCE_MS = 3_000;

export interface Play {
  /** In-time ends and submissions of each team. */
  readonly inTime: Map<string, number>;
  readonly sent: Map<string, number>;
  refusals: number;
  /** Refusals while a target ran nothing. */
  refusalsWithRoom: number;
}

function count(counts: Map<string, number>, teamId: string): void {
  counts.set(teamId, (counts.get(teamId) ?? 0) + 1);
}

/** Calls back if the job ends within its objective, which counts from its acceptance. */
function countInTime(world: JobWorld, jobId: string, acceptedMs: number, note: () => void): void {
  const { clock, observer } = world;
  const poll = clock.every(POLL_MS, () => {
    const tookMs = clock.monotonicMs() - acceptedMs;
    const isDone = [0, 1, 2, 3].every((task) => observer.isDone(`${jobId}.0.1.${task}`));
    if (isDone && tookMs <= OBJECTIVE_MS) note();
    if (isDone || tookMs > OBJECTIVE_MS) poll.dispose();
  });
}

/** Submits a job like a caller who returns when told to, and counts an end in time. */
async function submitJob(
  world: JobWorld,
  jobId: string,
  teamId: string,
  result: Play,
): Promise<void> {
  const { clock } = world;
  const firstTryMs = clock.monotonicMs();
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const triedMs = clock.monotonicMs();
    const reply = await world.call(jobId, { steps: STEPS }, { teamId });
    if (reply?.kind === 'accepted') {
      countInTime(world, jobId, triedMs, () => count(result.inTime, teamId));
      const repeated = await world.call(jobId, { steps: STEPS }, { teamId });
      if (repeated?.kind === 'refused')
        world.observer.broken.push(`${jobId} refused when repeated`);
      return;
    }
    if (reply?.kind !== 'refused') return;
    Object.assign(result, { refusals: result.refusals + 1 });
    if ([...world.targets.values()].some((target) => target.runningCount === 0)) {
      Object.assign(result, { refusalsWithRoom: result.refusalsWithRoom + 1 });
    }
    if (clock.monotonicMs() - firstTryMs + reply.retryAfterMs > PATIENCE_MS) break;
    await clock.sleep(reply.retryAfterMs);
  }
  const mayRun = world.observer.startsOf(`${jobId}.0.0.0`) > 0;
  if (mayRun) world.observer.broken.push(`${jobId} ran although it was refused`);
}

/**
 * Plays a number of jobs a second for each team, in a world with the given changes. `disturb` is called
 * when the load begins.
 */
export async function play(
  jobsPerS: Readonly<Record<string, number>>,
  weights: Readonly<Record<string, number>>,
  change: Partial<JobWorldOptions> = {},
  disturb: (world: JobWorld) => void = () => undefined,
): Promise<{ play: Play; world: JobWorld }> {
  const world = await createWorld({ runtimeMs: RUNTIME_MS, weights, ...change });
  const result: Play = { inTime: new Map(), sent: new Map(), refusals: 0, refusalsWithRoom: 0 };
  disturb(world);
  Object.entries(jobsPerS).forEach(([teamId, rate], index) => {
    for (let job = 0; job < (rate * PLAYED_MS) / 1_000; job += 1) {
      count(result.sent, teamId);
      world.clock.after((job + index / 10) * (1_000 / rate), () => {
        void submitJob(world, `${teamId}${job}`, teamId, result);
      });
    }
  });
  await world.run(PLAYED_MS + PATIENCE_MS + OBJECTIVE_MS);
  return { play: result, world };
}

export function total(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, one) => sum + one, 0);
}
