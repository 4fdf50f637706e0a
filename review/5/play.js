/**
 * An entry stands still while it has an unread submission. The client gives up and cancels through another
 * entry, which answers that there is no such submission. Then the first entry goes on.
 */
import { runCase, sleep } from '../harness/Deployment.js';

const FREEZE_MS = 3_500;
const CLIENT_LIMIT_MS = 3_000;
const CANCEL_MS = 3_000;
const STOP_MS = 200;
const CONTACT_MS = 3_000;

/** Calm time after the freeze in which the task has to be gone. */
const CALM_MS = CONTACT_MS + CANCEL_MS + STOP_MS;

const ID = '00000000000000e1';
const STEPS = [{ count: 2, cpu: 1_000, workMs: 500, longRunning: true, mayMiss: 1 }];

await runCase(import.meta.url, async (deployment, hasTrouble) => {
  await deployment.start();
  const owner = deployment.owner();
  const [frozen, other] = deployment.entries.filter((entry) => entry !== owner);
  await sleep(4_000);
  if (hasTrouble) {
    frozen.signal('SIGSTOP');
    setTimeout(() => frozen.signal('SIGCONT'), FREEZE_MS);
  }
  await deployment.submit(frozen, ID, STEPS, { timeoutMs: CLIENT_LIMIT_MS });
  let confirmedMs = 0;
  while (confirmedMs === 0) {
    const { status } = await deployment.call(other, 'DELETE', ID);
    if (status === 200 || status === 410) confirmedMs = performance.now();
    else await sleep(300);
  }
  await sleep(FREEZE_MS + CALM_MS + 5_000);
  const state = await deployment.stateOf(other, ID);
  const running = deployment.runningOf(ID).map(({ task, run }) => `${task} run ${run}`);
  const sinceMs = Math.round(performance.now() - confirmedMs);
  deployment.record('end', { state, running, sinceMs });
  return running.map(
    (run) =>
      `UNASKED: ${run} is still running ${sinceMs} ms after the cancelling was confirmed (state ${state})`,
  );
});
