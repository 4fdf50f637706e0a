/**
 * Runs that were planned for a target that changes before their plan is durable: the append of the plan
 * takes longer than the change needs to be listed.
 */
import { describe, it } from '@acaciadock/core/testing';
import { type SimulatedTarget } from '@acaciadock/coordinator/testing';
import { type Test } from 'tap';
import { type JobWorld } from './testing/JobWorld.js';
import { assertCompletes, createWorld, type StepInput } from './testing/takeoverHelpers.js';

const APPEND_MS = 700;

/** Time until the tasks are planned, and until the change is listed, in milliseconds. */
const PLANNED_AFTER_MS = 50;
const LISTED_AFTER_MS = APPEND_MS - 2 * PLANNED_AFTER_MS;

const SIX_TASKS: StepInput = { taskCount: 6, cpuMilli: 1_000 };

interface PlannedStep {
  readonly world: JobWorld;
  readonly target: SimulatedTarget;
}

/** Plans a step on both targets of a pool; nothing has started yet. */
async function planStep(t: Test, step: StepInput): Promise<PlannedStep> {
  const world = await createWorld({ targetCount: 2 });
  Object.assign(world.store.faults, { latencyMs: APPEND_MS });
  void world.submit('a', { steps: [step] });
  await world.run(PLANNED_AFTER_MS);
  t.equal(world.observer.startCount, 0);
  return { world, target: world.targets.get('t0') as SimulatedTarget };
}

async function awaitStarts(t: Test, { world }: PlannedStep): Promise<void> {
  await world.run(LISTED_AFTER_MS);
  t.equal(world.observer.startCount, 0, 'the plan is not durable yet');
  await world.run(APPEND_MS);
  t.ok(world.observer.startsOn('t1') > 0, 'tasks start on the other target');
  Object.assign(world.store.faults, { latencyMs: 4 });
}

describe('a start that was planned before a change of its target', () => {
  it('is not sent to a target that drains meanwhile', async (t) => {
    const planned = await planStep(t, SIX_TASKS);
    Object.assign(planned.target, { isDraining: true });
    await awaitStarts(t, planned);
    await assertCompletes(t, planned.world, ['a']);
    t.equal(planned.world.observer.startsOn('t0'), 0);
  });

  it('is not sent to a later lifetime, which may be of another kind', async (t) => {
    const planned = await planStep(t, { ...SIX_TASKS, requiredLabel: 'a' });
    const { target } = planned;
    target.restart();
    const entry = { ...target.entry, labels: ['b', 'r'] };
    Object.defineProperty(target, 'entry', { value: entry, configurable: true });
    await awaitStarts(t, planned);
    await assertCompletes(t, planned.world, ['a']);
    t.equal(planned.world.observer.startsOn('t0'), 0);
  });
});
