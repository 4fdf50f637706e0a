/**
 * A worker crashes a few times soon after its start. The lasting submission that has a task there is given
 * up: all its tasks are stopped, and it is shown as failed.
 */
import { runCase, sleep } from '../harness-2/World.js';

const WORKERS = 6;
const CRASHES = 4;
const UP_MS = 400;
const DOWN_MS = 1_000;
const JOB = 'c0ffee0000000009';

const SUBMISSION = {
  spec: JSON.stringify({ cpu: 1_300, lasts: true }),
  steps: [
    {
      count: WORKERS,
      cpu: 1_300,
      memMb: 4_300,
      estRuntimeMs: 500,
      antiAffinity: 1,
      longRunning: true,
      mayMiss: 1,
    },
  ],
};

await runCase(new URL('record.txt', import.meta.url), async (world, hasTrouble) => {
  world.writeConfig();
  await world.addWorkers(WORKERS);
  await world.addEntries(3);
  await sleep(3_500);
  const [entry] = world.entries;
  const { status } = await world.call(entry, 'POST', JOB, { body: SUBMISSION });
  if (status !== 200) throw new Error('the submission was not accepted');
  await sleep(5_000);

  const [sick] = world.workers;
  for (let crash = 0; hasTrouble && crash < CRASHES; crash += 1) {
    sick.crash();
    await sleep(DOWN_MS);
    sick.restart();
    await sleep(UP_MS);
  }
  await sleep(12_000);

  const state = await world.stateOf(entry, JOB);
  const running = world.workers.reduce((sum, worker) => sum + worker.running.size, 0);
  const failedEnds = world.eventsOf('end').filter(({ how }) => how === 'failed').length;
  world.log('result', { state, running, failedEnds });
  if (state !== 'failed') return [];
  return [
    `LOST: a lasting submission is shown as failed, with ${failedEnds} ends 'failed'; ${running} of its ${WORKERS} tasks run`,
  ];
});
