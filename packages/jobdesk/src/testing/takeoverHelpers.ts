/**
 * Helpers shared by the takeover tests: create a world with an owner, submit jobs, await them. Task
 * ids have the form `job.occurrence.step.task`, such as `a.0.0.0`.
 */
import { type stepSpecSchema } from '@acaciadock/jobs';
import { type Test } from 'tap';
import { type z } from 'zod';
import { DEFAULT_WORLD, JobWorld, type JobWorldOptions } from './JobWorld.js';

export type StepInput = z.input<typeof stepSpecSchema>;

export const ONE_STEP: readonly StepInput[] = [{ taskCount: 4, cpuMilli: 1_000 }];
export const ONE_TASK: readonly StepInput[] = [{ taskCount: 1, cpuMilli: 100 }];
export const TWO_STEPS: readonly StepInput[] = [
  { taskCount: 3, cpuMilli: 1_000 },
  { taskCount: 2, cpuMilli: 1_000, afterSteps: [0] },
];
const SETTLE_TIMEOUT_MS = 40_000;

export async function createWorld(change: Partial<JobWorldOptions> = {}): Promise<JobWorld> {
  const world = new JobWorld({ ...DEFAULT_WORLD, ...change });
  await world.runUntil(() => world.owner !== undefined, 5_000);
  await world.run(400);
  return world;
}

export async function statusOf(world: JobWorld, jobId: string): Promise<string> {
  const asked = world.stateOf(jobId);
  await world.run(50);
  const reply = await asked;
  return reply?.kind === 'state' ? reply.status : (reply?.kind ?? 'nobody');
}

export async function submit(
  world: JobWorld,
  jobId: string,
  steps: readonly StepInput[] = ONE_STEP,
): Promise<void> {
  void world.submit(jobId, { steps });
  await world.run(60);
}

export async function assertCompletes(
  t: Test,
  world: JobWorld,
  jobIds: readonly string[],
): Promise<void> {
  let open = [...jobIds];
  for (let waitedMs = 0; waitedMs < SETTLE_TIMEOUT_MS && open.length > 0; waitedMs += 500) {
    await world.run(450);
    const statuses = await Promise.all(open.map((jobId) => statusOf(world, jobId)));
    open = open.filter((_, index) => statuses[index] !== 'completed');
  }
  t.same(open, [], 'every job completes');
  t.same(world.observer.broken, [], 'no guarantee violated');
}
