/**
 * A submission is cancelled before the store has answered its append. The entry that owns the journal tells the
 * client that it was not accepted, and that there is no such submission; the next owner runs it.
 */
import { runCase, sleep } from '../harness/Deployment.js';
import { SILENT } from '../harness/HttpStandIn.js';

const OUTAGE_MS = 4_200;
const CANCEL_AFTER_MS = 500;
const CONTACT_MS = 3_000;
const CANCEL_MS = 3_000;

/** Calm time after the outage, so that all machines are in touch again. */
const CALM_MS = CONTACT_MS + 5_000;
const WATCH_MS = 10_000;
const RETRY_MS = 300;
const ID = '00000000000000c1';
const STEPS = [{ count: 2, cpu: 500, workMs: 1_500 }];

/** Fills all workers for a while, as each queue does in its turn of high demand. */
const BUSY_ID = '00000000000000b1';
const BUSY_STEPS = [{ count: 4, cpu: 16_000, workMs: 12_000 }];

/** Sends the DELETE until it is confirmed; returns the time of the confirmation. */
async function cancel(deployment, entry) {
  for (;;) {
    const { status } = await deployment.call(entry, 'DELETE', ID);
    if (status === 200 || status === 410) return performance.now();
    await sleep(RETRY_MS);
  }
}

await runCase(import.meta.url, async (deployment, hasTrouble) => {
  await deployment.start();
  const { store, record } = deployment;
  const owner = deployment.owner();
  const other = deployment.entries.find((entry) => entry !== owner);
  const starts = [];
  deployment.workers.forEach((worker) => {
    Object.assign(worker, {
      onStarted: ({ task, run }) =>
        task.startsWith(ID) && starts.push({ name: `${task} run ${run}`, atMs: performance.now() }),
    });
  });
  await deployment.submit(other, BUSY_ID, BUSY_STEPS);
  await sleep(2_000);
  if (hasTrouble) {
    const backMs = performance.now() + OUTAGE_MS;
    record('store-silent', { forMs: OUTAGE_MS });
    store.intercept = () => (performance.now() < backMs ? SILENT : undefined);
    setTimeout(() => record('store-back', {}), OUTAGE_MS);
  }
  const submitted = deployment.submit(other, ID, STEPS);
  await sleep(CANCEL_AFTER_MS);
  const [{ status }, cancelledMs] = await Promise.all([submitted, cancel(deployment, other)]);
  record('cancelling-confirmed', { submitStatus: status });
  await sleep(OUTAGE_MS + CALM_MS);
  owner.signal('SIGTERM');
  await sleep(WATCH_MS);
  await deployment.stateOf(other, ID);
  const isRefused = status === 429 || status === 503;
  return starts
    .filter(({ atMs }) => atMs - cancelledMs > CANCEL_MS)
    .flatMap(({ name, atMs }) => {
      const sinceMs = Math.round(atMs - cancelledMs);
      const unasked = `UNASKED: ${name} started ${sinceMs} ms after the cancelling was confirmed`;
      return isRefused
        ? [unasked, `REFUSED: ${name} started; the only attempt to submit was answered ${status}`]
        : [unasked];
    });
});
