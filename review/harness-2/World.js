/**
 * A small deployment on loopback addresses: a store, workers and entries, with the operator's
 * configuration, and the record of what was sent, answered and run.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Entry, send } from './Entry.js';
import { sleep } from './HttpServer.js';
import { Store } from './Store.js';
import { Worker } from './Worker.js';

export const HOST = 'advice.example';
export const PREFIX = '/quick/';
export const KEY = 'key-of-team-a';
const SERVICE = 'benchdesk';
const TOTAL_LIMIT_MS = 110_000;

export class World {
  store = new Store();

  workers = [];

  entries = [];

  lines = [];

  startedMs = performance.now();

  folder = '';

  log = (event, fields = {}) => {
    const atS = ((performance.now() - this.startedMs) / 1_000).toFixed(3);
    this.lines.push(`${atS} ${event} ${JSON.stringify(fields)}`);
  };

  /** Seconds since the world began. */
  get nowMs() {
    return performance.now() - this.startedMs;
  }

  async addWorkers(count, options = {}) {
    for (let index = 0; index < count; index += 1) {
      const id = `i-${String(this.workers.length).padStart(4, '0')}`;
      const worker = new Worker({
        store: this.store,
        id,
        service: SERVICE,
        rack: `r${index + 1}`,
        log: this.log,
        ...options,
      });
      await worker.start();
      this.workers.push(worker);
    }
  }

  writeConfig({ version = 3, maxAttempts = 3, more = {} } = {}) {
    this.store.put('keyed.op', 'config', {
      version,
      routes: [
        {
          name: 'quick',
          host: HOST,
          pathPrefix: PREFIX,
          service: SERVICE,
          priority: 0,
          maxAttempts,
          stretch: 1.6,
          targetLatencyMs: 600,
        },
      ],
      services: [{ name: SERVICE, rejectsOverload: true }],
      tenants: [{ name: 'team-a', apiKeys: [KEY], weight: 1 }],
      limits: {},
      ...more,
    });
  }

  async addEntries(count, settings) {
    const added = [];
    for (let index = 0; index < count; index += 1) {
      const storeAddress = await this.store.addressFor(this.entries.length);
      const entry = await Entry.create({
        index: this.entries.length,
        folder: this.folder,
        storeAddress,
        machinesAddress: this.machinesAddress,
        log: this.log,
        settings,
      });
      this.entries.push(entry);
      added.push(entry);
    }
    await Promise.all(added.map((entry) => entry.untilReady()));
  }

  /** The entry that has announced itself as the owner of the journal. */
  get owner() {
    const name = this.store.read('keyed.owner', 'owner')?.owner?.entryId;
    return this.entries.find((entry) => entry.name === name);
  }

  /** One call of a client, with its answer in the record. */
  async call(entry, method, jobId, { body, limitMs = 3_000, note = '', key = KEY } = {}) {
    const text = body === undefined ? undefined : JSON.stringify(body);
    this.log('send', { entry: entry.name, method, jobId, note });
    const answer = await send({
      port: entry.front,
      method,
      path: `${PREFIX}${jobId}`,
      headers: {
        host: HOST,
        'x-api-key': key,
        'x-deadline-ms': String(limitMs),
        ...(text === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
      },
      body: text,
      limitMs,
    });
    this.log('answer', { entry: entry.name, method, jobId, note, ...answer });
    return answer;
  }

  /** The state of a submission as one entry shows it; undefined without an answer. */
  async stateOf(entry, jobId) {
    const { status, text } = await this.call(entry, 'GET', jobId);
    if (status === 410) return 'gone';
    return status === 200 ? JSON.parse(text).state : undefined;
  }

  async untilState(entry, jobId, state, limitMs) {
    const deadlineMs = performance.now() + limitMs;
    while (performance.now() < deadlineMs) {
      if ((await this.stateOf(entry, jobId)) === state) return true;
      await sleep(300);
    }
    return false;
  }

  /** The starts of a submission's tasks that workers have carried out, as `{atMs, task, run, worker}`. */
  startsOf(jobId) {
    return this.eventsOf('start').filter(({ task }) => task.startsWith(jobId));
  }

  eventsOf(name) {
    return this.lines
      .map((line) => line.split(' '))
      .filter(([, event]) => event === name)
      .map(([atS, , ...rest]) => ({ atMs: Number(atS) * 1_000, ...JSON.parse(rest.join(' ')) }));
  }

  close() {
    this.entries.forEach((entry) => entry.end());
    this.workers.forEach((worker) => worker.close());
    this.store.close();
  }
}

/**
 * Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. `play`
 * returns the breaches as texts.
 */
export async function runCase(recordPath, play) {
  const world = new World();
  world.folder = await mkdtemp(join(tmpdir(), 'review-'));
  const hasTrouble = process.env.TROUBLE !== '0';
  let code = 2;
  const timeOut = sleep(TOTAL_LIMIT_MS).then(() => {
    throw new Error('the case takes too long');
  });
  try {
    world.log('begin', { trouble: hasTrouble });
    const breaches = await Promise.race([play(world, hasTrouble), timeOut]);
    breaches.forEach((breach) => world.log('BROKEN', { breach }));
    code = breaches.length > 0 ? 1 : 0;
  } catch (cause) {
    world.log('not-run', { cause: String(cause?.stack ?? cause) });
  }
  world.log('end', { exit: code });
  world.close();
  await writeFile(recordPath, `${world.lines.join('\n')}\n`);
  process.stdout.write(`${world.lines.filter((line) => line.includes('BROKEN')).join('\n')}\n`);
  if (process.env.KEEP === undefined) await rm(world.folder, { recursive: true, force: true });
  else process.stdout.write(`${world.folder}\n`);
  // Pending timers of the stand-ins would keep the process.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
}

export { sleep };
