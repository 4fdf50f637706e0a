/**
 * Jobs whose tasks save much progress: the platform sets no limit for the length of a checkpoint. Guards against a
 * record that the store refuses, behind which the records of all other jobs wait (review/11), and against a start
 * that resumes from a part of a checkpoint or from none.
 */
import { MAX_RECORD_BYTES } from '@acaciadock/coordinator/testing';
import { describe, it } from '@acaciadock/core/testing';
import { type JobWorld } from './testing/JobWorld.js';
import { assertCompletes, createWorld, type StepInput, submit } from './testing/takeoverHelpers.js';

const SMALL: readonly StepInput[] = [{ taskCount: 2, cpuMilli: 100 }];
const TIMEOUT_MS = 20_000;

/** The submission of review/11: five steps of 32 tasks. */
const FIVE_STEPS: readonly StepInput[] = Array.from({ length: 5 }, (_, index) => ({
  taskCount: 32,
  cpuMilli: 100,
  checkpointing: true,
  afterSteps: index === 0 ? [] : [index - 1],
}));

interface CheckpointLength {
  readonly characters: number;
  readonly filler?: string;
  readonly runtimeMs?: number;
}

async function createCheckpointWorld({
  characters,
  filler = '.',
  runtimeMs = 300,
}: CheckpointLength): Promise<JobWorld> {
  const world = await createWorld({ runtimeMs, refusesOverload: false });
  world.targets.forEach((target) => {
    Object.assign(target, { checkpointCharacters: characters, checkpointFiller: filler });
  });
  return world;
}

async function replaceOwner(world: JobWorld): Promise<void> {
  const ownerId = world.ownerId() ?? '';
  world.killEntry(ownerId);
  world.startEntry(ownerId);
  await world.runUntil(() => world.owner !== undefined, TIMEOUT_MS);
}

/** Crashes all targets, which come back as new lifetimes a moment later. */
async function crashTargets(world: JobWorld): Promise<void> {
  world.targets.forEach((target) => target.crash());
  await world.run(200);
  world.targets.forEach((target) => target.restart());
}

function largestRecord(world: JobWorld): number {
  const sizes = world.store.records.map(
    ({ key, value }) => 1 + Buffer.byteLength(key) + (value?.length ?? 0),
  );
  return Math.max(...sizes);
}

describe('a job whose tasks save much progress', () => {
  const cases = [
    { what: '160 tasks with 2,000 characters', steps: FIVE_STEPS, characters: 2_000 },
    {
      what: '790 tasks with 280 characters',
      steps: [{ taskCount: 790, cpuMilli: 20, checkpointing: true }],
      characters: 280,
    },
    {
      what: '820 tasks with 1,200 characters',
      steps: [{ taskCount: 820, cpuMilli: 20, checkpointing: true }],
      characters: 1_200,
    },
    {
      what: '160 tasks with 400 characters that are escaped',
      steps: FIVE_STEPS,
      characters: 400,
      filler: '\u0001',
    },
    {
      what: '160 tasks with 700 characters of several bytes',
      steps: FIVE_STEPS,
      characters: 700,
      filler: '\u20ac',
    },
    {
      what: 'three tasks with more than one record holds',
      steps: [{ taskCount: 3, cpuMilli: 100, checkpointing: true }],
      characters: 300_000,
    },
  ];
  cases.forEach(({ what, steps, characters, filler }) => {
    it(`ends, and others are accepted and end meanwhile: ${what}`, async (t) => {
      const world = await createCheckpointWorld({ characters, ...(filler ? { filler } : {}) });
      await submit(world, 'large', steps);
      await world.run(1_000);
      await submit(world, 'small', SMALL);
      t.ok(world.accepted.has('small'));
      await assertCompletes(t, world, ['small', 'large']);
      t.ok(largestRecord(world) <= MAX_RECORD_BYTES, `a record of ${largestRecord(world)} bytes`);
    });
  });

  it('leaves nothing of its checkpoints in the store once it has ended', async (t) => {
    const world = await createCheckpointWorld({ characters: 2_000 });
    await submit(world, 'large', FIVE_STEPS);
    await assertCompletes(t, world, ['large']);
    await world.run(1_000);
    const bytes = world.store
      .newest()
      .records.filter(({ key }) => key.includes('large'))
      .reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
    t.ok(bytes < 1_000, `${bytes} bytes`);
  });
});

describe('a task that has saved much progress', () => {
  const cases = [
    { what: 'of 2,000 characters', characters: 2_000 },
    { what: 'of 300,000 characters', characters: 300_000 },
    { what: 'of 16 characters', characters: 16 },
  ];
  cases.forEach(({ what, characters }) => {
    [false, true].forEach((gang) => {
      it(`resumes from the whole of it under the next owner${gang ? ', as a gang' : ''}: ${what}`, async (t) => {
        // Fails if the next owner knows only what targets report that crash before they are asked.
        const world = await createCheckpointWorld({ characters, runtimeMs: 3_000 });
        await submit(world, 'a', [{ taskCount: 2, cpuMilli: 1_000, checkpointing: true, gang }]);
        await world.run(500);
        // The end of a run of the job makes its progress durable.
        world.targets.forEach((target) => target.crash());
        await world.run(200);
        world.targets.forEach((target) => target.restart());
        await world.runUntil(() => world.observer.resumed.size === 2, TIMEOUT_MS);
        world.observer.resumed.clear();
        const owner = world.ownerId() ?? '';
        world.targets.forEach((target) => target.crash());
        world.killEntry(owner);
        world.startEntry(owner);
        await world.run(200);
        world.targets.forEach((target) => target.restart());
        await world.runUntil(() => world.observer.resumed.size === 2, TIMEOUT_MS);
        t.equal(world.observer.resumed.size, 2, 'both tasks resume');
        t.same(world.observer.broken, []);
        await assertCompletes(t, world, ['a']);
      });
    });
  });

  it('resumes from its own after crashes and changes of owner in turn', async (t) => {
    const world = await createCheckpointWorld({ characters: 2_000, runtimeMs: 2_000 });
    await submit(world, 'large', FIVE_STEPS);
    for (let round = 0; round < 4; round += 1) {
      await world.run(700);
      await crashTargets(world);
      await world.run(round * 37);
      await replaceOwner(world);
    }
    await assertCompletes(t, world, ['large']);
    t.ok(world.observer.resumed.size > 0);
  });
});

describe('the bytes that are appended for a job', () => {
  it('grow with the checkpoints that changed, not with all that it holds', async (t) => {
    // Fails if each append contains the checkpoint of every task of the job.
    const characters = 2_000;
    const world = await createCheckpointWorld({ characters, runtimeMs: 1_000 });
    await submit(world, 'large', FIVE_STEPS);
    await assertCompletes(t, world, ['large']);
    const bytes = world.store.records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
    const checkpointBytes = 160 * characters;
    t.ok(bytes < 8 * checkpointBytes, `${bytes} bytes for ${checkpointBytes} of checkpoints`);
  });
});
