// One large submission whose tasks save their progress comes beside small ones of another tenant.
import { dirname, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep } from '../stand-ins-3/http.mjs';
import { Trial } from '../stand-ins-3/Trial.mjs';
import { CannotRun } from '../stand-ins-3/until.mjs';
import { Worker } from '../stand-ins-3/Worker.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const ROOT = resolve(FOLDER, '../..');

/** Bounds of the sheet of ltc-accred. */
const FINISH_MS = 14_000;
const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 6,
  maxHoldMs: 10_000,
  stopTimeoutMs: 400,
  status_s: 120,
  noticeMs: 4_500,
  moveS: 1.5,
  maintenanceS: 2,
  harmMs: 4_000,
  leaseMs: 3_000,
};
const CORES = 0.675;
const WORKERS = 8;
const DEADLINE_MS = 3_000;

/** The largest submission of the sheet's class cert-issue: 5 steps, 32 tasks wide, 7.7 cores and 1.7 s a task. */
const STEPS = 5;
const WIDTH = 32;
const TASK = { cpu: 7_700, memMb: 28_000, estRuntimeMs: 1_700, checkpointing: true };
const RUNTIME_MS = 1_700;

/** The pages set no limit for a checkpoint; this one is half as long as a `spec` may be. */
const CHECKPOINT_CHARACTERS = 2_000;

/** For how long a submission has nothing running before it counts as lost. */
const STILL_MS = 3_000;

const ROUTE = {
  host: 'certs.example',
  service: 'certs',
  maxAttempts: 2,
  stretch: 1.6,
  targetLatencyMs: 600,
};
const CONFIG = {
  version: 3,
  routes: [{ ...ROUTE, name: 'queue', pathPrefix: '/jobs/' }],
  services: [{ name: 'certs', rejectsOverload: true }],
  tenants: [
    { name: 'team', apiKeys: ['key-1'], weight: 10 },
    { name: 'other', apiKeys: ['key-2'], weight: 10 },
  ],
};
const LARGE = { host: ROUTE.host, key: 'key-1' };
const SMALL = { host: ROUTE.host, key: 'key-2' };
const LARGE_PATH = '/jobs/5c0e7a21d94b36f8';
const LARGE_STEPS = Array.from({ length: STEPS }, (_, index) => ({
  ...TASK,
  count: WIDTH,
  ...(index === 0 ? {} : { after: [index - 1] }),
}));
const SMALL_STEPS = [{ ...TASK, count: 8 }];

const trial = new Trial(FOLDER, ROOT);
const workers = [];

function checkpointOf(task, workMs) {
  const head = `${String(workMs).padStart(8, '0')} ${task} `;
  return head.padEnd(CHECKPOINT_CHARACTERS, '0123456789abcdef');
}

/** How long ago the last run of the submission was on a worker. */
function stillMs(path) {
  const id = path.slice('/jobs/'.length);
  const isOwn = ({ task }) => task.startsWith(id);
  if (workers.some(({ running }) => [...running.values()].some(isOwn))) return 0;
  const ends = trial.lines.filter((line) => line.event === 'task-ended' && isOwn(line));
  return trial.nowMs - Math.max(0, ...ends.map(({ atMs }) => atMs));
}

await trial.run(async () => {
  const store = await trial.startStore(CONFIG);
  for (let index = 0; index < WORKERS; index += 1) {
    const worker = new Worker({
      id: `i-${index}`,
      service: 'certs',
      zone: 'a',
      labels: ['a', `r1-${Math.floor(index / 4)}`],
      capacity: { cpu: 64_000, memMb: 262_144, gpu: 0 },
      maxHoldMs: 10_000,
      runtimeMsOf: () => RUNTIME_MS,
      checkpointOf,
      store,
      record: trial.record,
    });
    await worker.start();
    workers.push(worker);
    trial.parts.push({ close: () => worker.isUp && worker.stopServing() });
  }
  const common = { zone: 'a', cpuShare: CORES, cores: 1, bounds: BOUNDS };
  for (const number of [1, 2, 3]) await trial.addEntry({ ...common, name: `frontend-a-${number}` });
  for (const entry of trial.entries) await entry.awaitReady();

  const accepted = [];
  const submit = async (path, client, steps) => {
    const { status } = await trial.client('POST', path, {
      ...client,
      body: { spec: 'sound', steps },
    });
    if (status === 200) accepted.push({ path, client });
    return status;
  };
  if (trial.hasTrouble) {
    trial.record({
      event: 'trouble',
      what: `a submission of ${STEPS} steps with ${WIDTH} tasks each comes`,
    });
    if ((await submit(LARGE_PATH, LARGE, LARGE_STEPS)) !== 200)
      throw new CannotRun('the large submission was not accepted');
  }
  // A small submission of the other tenant each 2 s.
  for (let index = 0; index < 12; index += 1) {
    await submit(`/jobs/6d1f8b32ea5c47${String(index).padStart(2, '0')}`, SMALL, SMALL_STEPS);
    await sleep(2_000);
  }
  trial.record({
    event: 'traffic-over',
    accepted: accepted.length,
    refusedAppends: store.refusedAppends ?? 0,
  });
  await sleep(FINISH_MS);

  const refused = trial.lines.filter(
    ({ event, method, status }) =>
      event === 'client-answered' && method === 'POST' && status !== 200,
  );
  const broken = [];
  for (const { path, client } of accepted) {
    const sentMs = trial.nowMs;
    const { status, body } = await trial.client('GET', path, { ...client, tries: 3 });
    const tookMs = trial.nowMs - sentMs;
    if (status !== 200 || tookMs > DEADLINE_MS)
      broken.push(`${path} is answered ${status} after ${tookMs} ms`);
    else if (body.state !== 'completed' && stillMs(path) > STILL_MS)
      broken.push(
        `${path} is ${body.state}, and nothing of it has run for ${Math.round(stillMs(path) / 1_000)} s`,
      );
  }
  trial.record({
    event: 'asked',
    accepted: accepted.length,
    broken,
    refusedSubmissions: refused.length,
    refusedAppends: store.refusedAppends ?? 0,
  });
  if (broken.length === 0) return '';
  return `LOST: of ${accepted.length} accepted submissions ${broken.length} stand still: ${broken[0]}; ${refused.length} attempts to submit others were refused`;
});
