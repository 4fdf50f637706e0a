/** Runs one random schedule of jobs and faults and returns the guarantees it violated. */
import { type Random } from '@acaciadock/core';
import { DEADLY_PREFIX } from '@acaciadock/coordinator/testing';
import { DEFAULT_WORLD, JobWorld, type JobWorldOptions } from './JobWorld.js';

const FAULTY_MS = 12_000;
const PERIOD_MS = 400;
const SETTLE_MS = 45_000;
const MAX_ATTEMPTS = 3;

/** Upper bound on the tasks of a job's first step, at the highest load. */
const MAX_TASKS = 32;

/** CPU capacities for restarted entries, in thousandths of a core. */
const RESTART_CPU_MILLI = [324, 1_350, 675];

/** Minimum time that a process takes to restart, in milliseconds. */
const MIN_RESTART_MS = 150;

/** CPU of every task in schedules with targets that crash or shrink, in thousandths of a core. */
const TASK_CPU_MILLI = 800;

const DEADLY_CHANCE = 0.15;
const SHRINK_CHANCE = 0.2;

type Fault = (world: JobWorld, random: Random) => void;

function pickEntry(world: JobWorld, random: Random): string {
  return random.pick([...world.entries.keys()]) ?? 'e0';
}

/** Restarts an entry. With odd seeds its CPU capacity varies, so that owners hand over. */
function restartEntry(world: JobWorld, entryId: string): void {
  const hasMixedCapacities = world.options.seed % 2 === 1;
  const capacityIndex = Math.floor(world.clock.monotonicMs()) % RESTART_CPU_MILLI.length;
  world.startEntry(entryId, hasMixedCapacities ? RESTART_CPU_MILLI[capacityIndex] : undefined);
}

function pickTarget(world: JobWorld, random: Random): string {
  return random.pick([...world.targets.keys()]) ?? 't0';
}

const FAULTS: readonly Fault[] = [
  // Kills an entry and restarts it.
  (world, random) => {
    const entryId = pickEntry(world, random);
    world.killEntry(entryId);
    world.clock.after(300 + random.next() * 2_000, () => restartEntry(world, entryId));
  },
  // Suspends an entry.
  (world, random) => {
    const entry = world.entries.get(pickEntry(world, random));
    entry?.clock.pause();
    world.clock.after(500 + random.next() * 4_000, () => entry?.clock.resume());
  },
  // Cuts the owner off from the store.
  (world, random) => {
    const entry = world.entries.get(world.ownerId() ?? pickEntry(world, random));
    Object.assign(entry?.storeFaults ?? {}, { isDown: true });
    world.clock.after(random.next() * 5_000, () => {
      Object.assign(entry?.storeFaults ?? {}, { isDown: false });
    });
  },
  // Stops the store.
  (world, random) => {
    Object.assign(world.store.faults, { isDown: true });
    world.clock.after(random.next() * 4_000, () => {
      Object.assign(world.store.faults, { isDown: false });
    });
  },
  // Loses answers of the store.
  (world, random) => {
    Object.assign(world.store.faults, { lostAnswerShare: 0.3 });
    world.clock.after(random.next() * 3_000, () => {
      Object.assign(world.store.faults, { lostAnswerShare: 0 });
    });
  },
  // Cuts an entry off from a target.
  (world, random) => {
    const entry = world.entries.get(pickEntry(world, random));
    const targetId = pickTarget(world, random);
    entry?.portFaults.cutTargets.add(targetId);
    world.clock.after(random.next() * 9_000, () => entry?.portFaults.cutTargets.delete(targetId));
  },
  // Leaves orders unanswered and executes them late.
  (world, random) => {
    world.entries.forEach((entry) => Object.assign(entry.portFaults, { lateOrderShare: 0.3 }));
    world.clock.after(random.next() * 3_000, () => {
      world.entries.forEach((entry) => Object.assign(entry.portFaults, { lateOrderShare: 0 }));
    });
  },
  // Crashes a target and restarts it.
  (world, random) => {
    const target = world.targets.get(pickTarget(world, random));
    target?.crash();
    world.clock.after(MIN_RESTART_MS + random.next() * 4_000, () => target?.restart());
  },
  // Starts a new generation of the group.
  (world) => world.store.startGeneration(),
];

/** Submits a job with a task that crashes the targets that start it, or changes a target's capacity. */
function disturbTargets(world: JobWorld, random: Random, jobId: string): void {
  if (random.chance(DEADLY_CHANCE)) {
    const step = { taskCount: random.integer(1, 3), cpuMilli: TASK_CPU_MILLI };
    const speculative = random.chance(0.5);
    void world.submit(jobId, { spec: `${DEADLY_PREFIX}0`, steps: [{ ...step, speculative }] });
  }
  if (random.chance(SHRINK_CHANCE)) {
    const cpuMilli = random.pick([1, 2, 5]) ?? 1;
    world.targets.get(pickTarget(world, random))?.setCapacity(cpuMilli * TASK_CPU_MILLI);
  }
}

function clearFaults(world: JobWorld): void {
  Object.assign(world.store.faults, { isDown: false, lostAnswerShare: 0 });
  world.entries.forEach((entry) => {
    Object.assign(entry.storeFaults, { isDown: false });
    Object.assign(entry.portFaults, { lateOrderShare: 0 });
    entry.portFaults.cutTargets.clear();
    entry.clock.resume();
  });
  world.targets.forEach((target) => {
    if (!target.isUp) target.restart();
  });
}

async function isFinished(world: JobWorld, jobId: string): Promise<boolean> {
  const asked = world.stateOf(jobId);
  await world.run(20);
  const reply = await Promise.race([asked, world.run(100)]);
  return reply?.kind === 'state' && (reply.status === 'completed' || reply.status === 'failed');
}

async function unfinishedJobs(world: JobWorld): Promise<string[]> {
  // Jobs that are not known to have finished.
  let open = [...world.accepted];
  for (let waitedMs = 0; waitedMs < SETTLE_MS && open.length > 0; waitedMs += 1_000) {
    await world.run(900);
    const stillOpen: string[] = [];
    for (const jobId of open) {
      if (!(await isFinished(world, jobId))) stillOpen.push(jobId);
    }
    open = stillOpen;
  }
  return open;
}

/** Refused jobs that ran, although their callers were told that they never will. */
function refusedThatRan(world: JobWorld): string[] {
  return [...world.refused].filter((jobId) =>
    Array.from({ length: MAX_TASKS }, (_, task) =>
      world.observer.startsOf(`${jobId}.0.0.${task}`),
    ).some((starts) => starts > 0),
  );
}

/**
 * Runs the schedule of this seed, with jobs of several times the size if `load` is above 1; returns a
 * description of each violated guarantee. With copies, every second job permits several concurrent
 * runs of its tasks. `disturbances` draws tasks that crash their targets, and capacities that change.
 * `options` change the simulated world.
 */
export async function runSchedule(
  random: Random,
  seed: number,
  hasCopies: boolean,
  load = 1,
  disturbances?: Random,
  options: Partial<JobWorldOptions> = {},
): Promise<string[]> {
  const world = new JobWorld({
    ...DEFAULT_WORLD,
    seed,
    failShare: 0.1,
    maxAttempts: MAX_ATTEMPTS,
    runtimeMs: 300 + random.next() * 1_500,
    ...(disturbances ? { taskCpuMilli: TASK_CPU_MILLI } : {}),
    ...options,
  });
  await world.run(1_500);
  const firstCpuMilli = disturbances ? TASK_CPU_MILLI : 700;
  const cpuMilli = disturbances ? TASK_CPU_MILLI : 900;
  let jobs = 0;
  for (let elapsedMs = 0; elapsedMs < FAULTY_MS; elapsedMs += PERIOD_MS) {
    jobs += 1;
    const speculative = hasCopies && jobs % 2 === 0;
    void world.submit(`j${jobs}`, {
      steps: [
        { taskCount: load * random.integer(1, 4), cpuMilli: firstCpuMilli, speculative },
        { taskCount: load * random.integer(1, 2), cpuMilli, afterSteps: [0], speculative },
      ],
    });
    if (disturbances) disturbTargets(world, disturbances, `deadly${jobs}`);
    if (random.chance(0.35)) random.pick(FAULTS)?.(world, random);
    await world.run(PERIOD_MS);
  }
  await world.run(5_500);
  clearFaults(world);
  const lost = await unfinishedJobs(world);
  return [
    ...world.observer.broken,
    ...lost.map((jobId) => `${jobId} never finished`),
    ...refusedThatRan(world).map((jobId) => `${jobId} ran although it was refused`),
  ];
}
