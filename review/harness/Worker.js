/**
 * Stand-in for a worker: leases on its own clock, fence numbers, numbered ends that it repeats until they are
 * seen, and no memory of a former life. It rejects what doesn't fit.
 */
import { HttpStandIn, SILENT } from './HttpStandIn.js';

const HEARTBEAT_MS = 500;
const STOP_MS = 20;
const POLL_MS = 5;
const MAX_WAIT_MS = 2_000;
const MAX_ENDS = 500;
const TICK_MS = 20;
const PERCENT = 100;

const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Work that is done, with what the checkpoint at the start had saved. */
function workedMs({ savedMs, startedMs }) {
  return savedMs + performance.now() - startedMs;
}

/** Checkpoints hold the saved work in 16 characters. */
function savedOf(one) {
  const { checkpointMs = 0 } = one.spec;
  if (checkpointMs === 0) return '';
  const savedMs = Math.floor(workedMs(one) / checkpointMs) * checkpointMs;
  return savedMs === 0 ? '' : String(savedMs).padStart(16, '0');
}

export class Worker {
  /**
   * `taskOf` gives `{ cpu, workMs, checkpointS, lasts }` of a task by its name; `record` writes a line to
   * the record of the case.
   */
  constructor({ id, host, service, cpu, memMb, labels, maxHoldMs, store, taskOf, record }) {
    Object.assign(this, {
      id,
      host,
      service,
      cpu,
      memMb,
      labels,
      maxHoldMs,
      store,
      taskOf,
      record,
    });
    this.port = 0;
    this.seq = 0;
    this.isUp = false;
    this.isDraining = false;
    /** Cut off: nothing that is sent to it arrives; what runs on it goes on. */
    this.isCut = false;
    this.onStarted = () => undefined;
    this.onEnded = () => undefined;
  }

  /** Begins a life: it knows nothing of before. */
  async begin() {
    this.born = Date.now();
    this.startedMs = performance.now();
    this.fence = 0;
    this.untilMs = 0;
    this.running = new Map();
    this.refusedRuns = new Map();
    this.ends = [];
    this.endCount = 0;
    this.isUp = true;
    this.http = new HttpStandIn((call) => this.serve(call));
    this.address = await this.http.listen(this.host, this.port);
    this.port = Number(this.address.split(':')[1]);
    this.announce();
    this.timers = [
      setInterval(() => this.announce(), HEARTBEAT_MS),
      setInterval(() => this.tick(), TICK_MS),
    ];
    this.record('worker-up', { worker: this.id, born: this.born });
  }

  /** Ends the life at once: nothing is sent, and connections are reset. */
  async crash() {
    if (!this.isUp) return;
    this.isUp = false;
    this.timers.forEach((timer) => clearInterval(timer));
    const lost = [...this.running.values()];
    this.running.clear();
    this.record('worker-crashed', {
      worker: this.id,
      runs: lost.map(({ task, run }) => `${task}#${run}`),
    });
    lost.forEach((one) => this.onEnded({ ...one, worker: this.id, how: 'crashed' }));
    await this.http.close();
  }

  announce() {
    if (this.isCut) return;
    this.seq += 1;
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      addr: this.address,
      zone: 'zone-a',
      version: '1',
      slots: 8,
      state: this.isDraining ? 'draining' : 'ready',
      coldLeftMs: 0,
      seq: this.seq,
      born: this.born,
      capacity: { cpu: this.cpu, memMb: this.memMb, gpu: 0 },
      labels: this.labels,
    });
  }

  get clockMs() {
    return Math.floor(performance.now() - this.startedMs) + 1_000;
  }

  get usedCpu() {
    return [...this.running.values()].reduce((sum, { spec }) => sum + spec.cpu, 0);
  }

  tick() {
    const lapsed = this.clockMs >= this.untilMs;
    this.running.forEach((one) => {
      if (lapsed) this.end(one, 'lapsed');
      else if (!one.spec.lasts && workedMs(one) >= one.spec.workMs) this.end(one, 'done');
    });
  }

  end(one, how) {
    if (this.running.get(one.task) !== one) return;
    this.running.delete(one.task);
    this.refuse(one.task, one.run);
    this.endCount += 1;
    this.ends.push([this.endCount, one.task, one.run, how, how === 'done' ? '' : savedOf(one)]);
    this.record('run-ended', { worker: this.id, task: one.task, run: one.run, how });
    this.onEnded({ ...one, worker: this.id, how });
  }

  refuse(task, run) {
    this.refusedRuns.set(task, Math.max(run, this.refusedRuns.get(task) ?? 0));
  }

  extend(untilMs) {
    if (untilMs === undefined) return;
    this.untilMs = Math.max(this.untilMs, Math.min(untilMs, this.clockMs + this.maxHoldMs));
  }

  async serve({ url, headers, body }) {
    if (this.isCut) return SILENT;
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) return { status: 421, body: {} };
    const call = JSON.parse(body.toString('utf8'));
    if ((call.fencingToken ?? 0) < this.fence) return this.refusal('fence');
    this.fence = call.fencingToken ?? 0;
    switch (url.pathname) {
      case '/v1/run-start':
        return this.start(call);
      case '/v1/run-stop':
        return this.stop(call);
      case '/v1/hold':
        return this.hold(call);
      case '/v1/pace':
        return { status: 200, body: { clockMs: this.clockMs, born: this.born } };
      default:
        return { status: 400, body: {} };
    }
  }

  refusal(reason) {
    return { status: 409, body: { clockMs: this.clockMs, born: this.born, reason } };
  }

  start({ task, run, spec: text, untilMs, fencingToken, checkpoint = '' }) {
    if (untilMs <= this.clockMs) return this.refusal('late');
    const present = this.running.get(task);
    this.extend(untilMs);
    const accepted = { status: 200, body: { clockMs: this.clockMs, born: this.born } };
    if (present?.run === run) return accepted;
    if (present || run <= (this.refusedRuns.get(task) ?? 0)) return this.refusal('old');
    const spec = this.taskOf(task);
    if (this.usedCpu + spec.cpu > this.cpu) return this.refusal('room');
    const savedMs = checkpoint === '' ? 0 : Number(checkpoint);
    const one = { task, run, spec, text, savedMs, startedMs: performance.now(), fencingToken };
    this.running.set(task, one);
    this.record('run-started', { worker: this.id, task, run, checkpoint, fencingToken });
    this.onStarted({ ...one, worker: this.id });
    return accepted;
  }

  stop({ task, run }) {
    this.refuse(task, run);
    const present = this.running.get(task);
    if (present && present.run <= run) setTimeout(() => this.end(present, 'stopped'), STOP_MS);
    return { status: 200, body: { clockMs: this.clockMs, born: this.born } };
  }

  async hold({ lastSeen = 0, untilMs, waitMs = 0 }) {
    const { born } = this;
    this.extend(untilMs);
    this.ends = this.ends.filter(([number]) => number > lastSeen);
    const dueMs = performance.now() + Math.min(waitMs, MAX_WAIT_MS);
    while (this.ends.length === 0 && performance.now() < dueMs && this.born === born) {
      await sleep(POLL_MS);
    }
    const running = [...this.running.values()].map((one) => {
      const percent = one.spec.lasts
        ? PERCENT
        : Math.min(PERCENT, Math.floor((workedMs(one) / one.spec.workMs) * PERCENT));
      return [one.task, one.run, savedOf(one), percent, one.spec.cpu];
    });
    if (this.isCut) return SILENT;
    const endedRuns = this.ends.slice(0, MAX_ENDS);
    return { status: 200, body: { clockMs: this.clockMs, born, running, endedRuns } };
  }
}
