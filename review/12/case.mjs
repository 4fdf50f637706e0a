// A worker with a slow clock gets a task after it was idle for long; it is cut off as the owner is stopped as planned.
import { dirname, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep } from '../stand-ins-3/http.mjs';
import { Machines } from '../stand-ins-3/Machines.mjs';
import { Trial } from '../stand-ins-3/Trial.mjs';
import { CannotRun, until } from '../stand-ins-3/until.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const ROOT = resolve(FOLDER, '../..');

/** Bounds of the sheet of ltc-accred. */
const MAX_HOLD_MS = 10_000;
const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 6,
  maxHoldMs: MAX_HOLD_MS,
  stopTimeoutMs: 400,
  status_s: 120,
  noticeMs: 4_500,
  moveS: 1.5,
  maintenanceS: 2,
  harmMs: 4_000,
  leaseMs: 3_000,
};
const CORES = 0.675;

/** The pages: a worker's clock may be 2% slow. */
const CLOCK_RATE = 0.98;

/** How long no work comes. */
const IDLE_MS = 85_000;
const RUNTIME_MS = 9_000;

/** The sheet cuts workers off for up to 5.5 s, a share of 0.17 of a service's at a time. */
const CUT_MS = 5_500;

/** From the SIGTERM to the submission. */
const SUBMIT_AFTER_MS = 400;

const CONFIG = {
  version: 3,
  routes: [
    {
      name: 'queue',
      host: 'certs.example',
      pathPrefix: '/jobs/',
      service: 'certs',
      maxAttempts: 2,
      stretch: 1.6,
      targetLatencyMs: 600,
    },
  ],
  services: [
    { name: 'certs', rejectsOverload: true },
    { name: 'misc', spare: true, rejectsOverload: true },
  ],
  tenants: [{ name: 'team', apiKeys: ['key-1'], weight: 10 }],
};
const CLIENT = { host: 'certs.example', key: 'key-1' };
const PATH = '/jobs/5c0e7a21d94b36f8';

const trial = new Trial(FOLDER, ROOT);

/** Spans in which a run was on a worker that was up, from the workers' own record. */
function runsOf(task) {
  const starts = trial.lines.filter((line) => line.event === 'task-started' && line.task === task);
  return starts.map(({ run, worker, atMs, fencingToken }) => {
    // A worker that leaves or crashes ends what it runs.
    const end = trial.lines.find(
      (line) =>
        line.worker === worker &&
        line.atMs >= atMs &&
        (['worker-left', 'worker-crashed'].includes(line.event) ||
          (line.event === 'task-ended' && line.task === task && line.run === run)),
    );
    return {
      run,
      worker,
      fencingToken,
      fromMs: atMs,
      toMs: end?.atMs ?? trial.nowMs,
      how: end?.how ?? end?.event,
    };
  });
}

function findOverlap() {
  const tasks = new Set(
    trial.lines.filter(({ event }) => event === 'task-started').map(({ task }) => task),
  );
  return [...tasks].flatMap((task) => {
    const runs = runsOf(task);
    return runs.slice(1).flatMap((second, index) => {
      const first = runs[index];
      return second.fromMs < first.toMs
        ? [{ task, first, second, togetherMs: Math.min(first.toMs, second.toMs) - second.fromMs }]
        : [];
    });
  });
}

await trial.run(async () => {
  const store = await trial.startStore(CONFIG);
  const machines = new Machines({
    store,
    record: trial.record,
    moveMs: 1_500,
    maintenanceMs: 2_000,
    dutyPerS: 64,
    enforceFencing: false,
    sparePool: 'misc',
    workerOptions: {
      maxHoldMs: MAX_HOLD_MS,
      runtimeMsOf: () => RUNTIME_MS,
      clockRate: CLOCK_RATE,
      hasLink: true,
    },
  });
  trial.parts.push(machines);
  await machines.listen();
  const capacity = { cpu: 64_000, memMb: 262_144, gpu: 0 };
  for (let index = 0; index < 6; index += 1)
    await machines.add(`m-${index}`, index < 4 ? 'certs' : 'misc', {
      zone: 'a',
      rack: `r1-${index}`,
      capacity,
    });
  const common = {
    zone: 'a',
    cpuShare: CORES,
    cores: 1,
    bounds: BOUNDS,
    dutyPerS: 64,
    machinesAddress: machines.address,
  };
  for (const number of [1, 2, 3]) await trial.addEntry({ ...common, name: `frontend-a-${number}` });
  for (const entry of trial.entries) await entry.awaitReady();
  const notice = store.topic('keyed.owner').newest.get('owner').value.toString('utf8');
  const owner = trial.entries.find(({ name }) => name === JSON.parse(notice).owner.entryId);
  // The client's entry is another one.
  trial.entries.sort((one, other) => (one === owner) - (other === owner));
  trial.record({ event: 'idle', forMs: IDLE_MS });
  await sleep(IDLE_MS);

  const isClaimed = new Promise((resolveClaimed) => {
    store.onRecord = (topic, key, value) => {
      if (key !== 'claim' || JSON.parse(value.toString('utf8')).entryId === owner.name) return;
      store.onRecord = () => undefined;
      trial.record({ event: 'claimed', by: JSON.parse(value.toString('utf8')).entryId });
      resolveClaimed();
    };
  });
  if (trial.hasTrouble) {
    owner.signal('SIGTERM');
    trial.record({ event: 'trouble', what: `${owner.name}, the owner, is stopped as planned` });
    await sleep(SUBMIT_AFTER_MS);
  }
  const steps = [{ count: 1, cpu: 7_700, memMb: 28_000, estRuntimeMs: RUNTIME_MS }];
  const accepted = await trial.client('POST', PATH, { ...CLIENT, body: { spec: 'sound', steps } });
  if (accepted.status !== 200)
    throw new CannotRun(`the submission was answered ${accepted.status}`);
  const started = await until('the task has started', 3_000, () =>
    trial.lines.find(({ event }) => event === 'task-started'),
  );
  if (trial.hasTrouble) {
    await Promise.race([isClaimed, sleep(4_000)]);
    const { worker } = [...machines.machines.values()].find(
      (one) => one.worker.id === started.worker,
    );
    worker.link.cut();
    trial.record({ event: 'trouble', what: `${worker.id} is cut off and runs on` });
    await sleep(CUT_MS);
    worker.link.heal();
    trial.record({ event: 'trouble-over', what: `${worker.id} is reached again` });
  }
  await sleep(RUNTIME_MS - CUT_MS + 2_000);
  const broken = findOverlap();
  broken.forEach((one) => trial.record({ event: 'broken', rule: 'TWICE', ...one }));
  if (broken.length === 0) return '';
  return `TWICE: ${broken.length} task ran on two workers at the same time, for ${broken[0].togetherMs} ms`;
});
