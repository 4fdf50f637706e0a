/**
 * A submission and its cancel meet an outage of the store: the submission is refused, the cancel is
 * confirmed. An earlier copy of the submission, which waits in a frozen entry, arrives after that.
 */
import { runCase, sleep } from '../harness-2/World.js';

const CANCEL_MS = 3_000;
const FREEZE_MS = 3_500;
const PATIENCE_MS = 400;
const OUTAGE_MS = 900;
const JOB = 'c0ffee0000000001';

const task = (after) => ({ count: 2, cpu: 1_000, memMb: 256, estRuntimeMs: 1_500, after });
const SUBMISSION = {
  spec: JSON.stringify({ ms: 1_500, cpu: 1_000 }),
  steps: [task([]), task([0]), task([1]), task([2])],
};

/** Sends the submission to the frozen entry, whose client leaves after its time limit. */
async function submitToFrozen(world, frozen) {
  frozen.signal('SIGSTOP');
  setTimeout(() => frozen.signal('SIGCONT'), FREEZE_MS);
  const options = { body: SUBMISSION, limitMs: PATIENCE_MS, note: 'first attempt' };
  await world.call(frozen, 'POST', JOB, options);
}

/** Repeats the cancel until it is confirmed, as a client does; returns the time of the confirmation. */
async function cancel(world, entry) {
  for (;;) {
    const { status } = await world.call(entry, 'DELETE', JOB, { note: 'cancel' });
    if (status === 200 || status === 410) return world.nowMs;
    await sleep(300);
  }
}

await runCase(new URL('record.txt', import.meta.url), async (world, hasTrouble) => {
  world.writeConfig();
  await world.addWorkers(4);
  await world.addEntries(8);
  const warmUp = 'c0ffee00000000ff';
  const { owner } = world;
  await world.call(owner, 'POST', warmUp, { body: { ...SUBMISSION, steps: [task([])] } });
  if (!(await world.untilState(owner, warmUp, 'completed', 8_000))) throw new Error('no warm-up');
  await sleep(3_500);

  const [frozen, other] = world.entries.filter((entry) => entry !== world.owner);
  world.log('roles', { owner: world.owner.name, frozen: frozen.name, other: other.name });
  if (hasTrouble) await submitToFrozen(world, frozen);
  else await world.call(frozen, 'POST', JOB, { body: SUBMISSION, note: 'first attempt' });

  if (hasTrouble) {
    world.store.setMode('busy');
    world.log('store', { mode: 'busy' });
    setTimeout(() => {
      world.store.setMode('pass');
      world.log('store', { mode: 'pass' });
    }, OUTAGE_MS);
    await sleep(20);
  }
  void world.call(other, 'POST', JOB, { body: SUBMISSION, note: 'second attempt' });
  await sleep(100);
  const confirmedMs = await cancel(world, other);
  await sleep(14_000);

  const late = world.startsOf(JOB).filter(({ atMs }) => atMs > confirmedMs + CANCEL_MS);
  await world.stateOf(other, JOB);
  return late.map(
    (start) =>
      `UNASKED: ${start.task} run ${start.run} started ${Math.round(start.atMs - confirmedMs)} ms after the cancel was confirmed`,
  );
});
