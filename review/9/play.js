/**
 * Two tenants choose the same ID, each for a submission of its own. The second one is confirmed, but
 * neither stored nor run.
 */
import { runCase, sleep } from '../harness-2/World.js';

const VISIBLE_MS = 3_000;
const OTHER_KEY = 'key-of-team-b';
const FIRST_ID = '0000000000000001';
const OTHER_ID = '0000000000000002';

const task = { count: 1, cpu: 1_000, memMb: 256, estRuntimeMs: 500 };
const submissionOf = (owner) => ({
  spec: JSON.stringify({ ms: 500, cpu: 1_000, owner }),
  steps: [task],
});

await runCase(new URL('record.txt', import.meta.url), async (world, hasTrouble) => {
  const tenants = [
    { name: 'team-a', apiKeys: ['key-of-team-a'], weight: 1 },
    { name: 'team-b', apiKeys: [OTHER_KEY], weight: 1 },
  ];
  world.writeConfig({ more: { tenants } });
  await world.addWorkers(3);
  await world.addEntries(3);
  await sleep(3_500);

  const [first, second, third] = world.entries;
  await world.call(first, 'POST', FIRST_ID, { body: submissionOf('a'), note: 'tenant a' });
  await sleep(1_000);
  const jobId = hasTrouble ? FIRST_ID : OTHER_ID;
  const asOther = { key: OTHER_KEY, note: 'tenant b' };
  const { status } = await world.call(second, 'POST', jobId, {
    body: submissionOf('b'),
    ...asOther,
  });
  const confirmedMs = world.nowMs;
  await sleep(VISIBLE_MS + 2_000);

  const shown = await world.call(third, 'GET', jobId, asOther);
  const starts = world.eventsOf('start').filter(({ spec }) => JSON.parse(spec).owner === 'b');
  world.log('starts of tenant b', { count: starts.length });
  if (status !== 200) return [];
  const afterMs = Math.round(world.nowMs - confirmedMs);
  return [
    ...(shown.status === 410
      ? [`LOST: tenant b's submission, confirmed with 200, is answered 410 ${afterMs} ms later`]
      : []),
    ...(starts.length === 0 ? [`LOST: no task of tenant b's submission was ever started`] : []),
  ];
});
