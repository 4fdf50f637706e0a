/**
 * The site loses power: all entries end, and the store is down. One entry comes back first, the one that owned
 * the journal, and the store some seconds later. Nobody claims the journal while that entry is alone.
 */
import { runCase, sleep } from '../harness/Deployment.js';
import { RESET } from '../harness/HttpStandIn.js';

const OUTAGE_MS = 4_200;
const CONTACT_MS = 3_000;
const FINISH_MS = 14_000;

/** From the return of the store on; the entry is in touch, and the last submissions are over. */
const WATCH_MS = CONTACT_MS + FINISH_MS + 13_000;
const CALL_EVERY_MS = 200;
const CALM_MS = 4_000;
const OPEN_ID = '0000000000000020';
const FIRST_STEP = { count: 2, cpu: 500, workMs: 3_000 };
const SMALL_STEP = { count: 2, cpu: 500, workMs: 1_000 };
const SECOND_STEP = { ...SMALL_STEP, after: [0] };

await runCase(import.meta.url, async (deployment, hasTrouble) => {
  await deployment.start();
  const { store } = deployment;
  const owner = deployment.owner();
  const others = deployment.entries.filter((entry) => entry !== owner);
  await sleep(CALM_MS);
  const { status } = await deployment.submit(owner, OPEN_ID, [FIRST_STEP, SECOND_STEP]);
  if (status !== 200) throw new Error('the submission was not accepted');
  if (hasTrouble) {
    deployment.record('power-lost', {
      gone: others.map(({ name }) => name),
      storeDownMs: OUTAGE_MS,
    });
    const backMs = performance.now() + OUTAGE_MS;
    store.intercept = () => (performance.now() < backMs ? RESET : undefined);
    setTimeout(() => deployment.record('store-back', {}), OUTAGE_MS);
    owner.signal('SIGKILL');
    await Promise.all(others.map((entry) => entry.end()));
  }
  const untilMs = performance.now() + OUTAGE_MS + WATCH_MS;
  const answers = {};
  for (let number = 0x100; performance.now() < untilMs; number += 1) {
    const id = number.toString(16).padStart(16, '0');
    const { status: answer } = await deployment.submit(owner, id, [SMALL_STEP]);
    answers[answer] = (answers[answer] ?? 0) + 1;
    await sleep(CALL_EVERY_MS);
  }
  const state = await deployment.stateOf(owner, OPEN_ID);
  const running = deployment.runningOf(OPEN_ID).length;
  deployment.record('end', { answers, state, running });
  if (state === 'completed') return [];
  return [
    `LOST: ${OPEN_ID} is shown as ${state} and has ${running} runs ${WATCH_MS} ms after the store came back; answers to other submissions: ${JSON.stringify(answers)}`,
  ];
});
