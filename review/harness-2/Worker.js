/**
 * Stand-in for a worker, as PROTOCOL.md describes it: runs with leases, fence numbers and ends. What a
 * task needs and how long it takes stands in its `spec`, a JSON text with `ms`, `cpu`, `lasts` and `gang`
 * (the number of members). A mode is `pass`, `silent` (calls are neither carried out nor answered) or `down` (the process has ended).
 */
import { sleep, startHttpServer } from './HttpServer.js';

const ANSWER_MS = 1;
const STOP_MS = 20;
const MAX_HOLD_MS = 6_000;
const BEAT_MS = 1_500;
const TICK_MS = 10;
const MAX_ENDS = 500;
const FOREVER_MS = 1e12;
const GANG_TIMEOUT_MS = 3_000;

/** The members of each gang that are present, by step and run. */
const gangs = new Map();

export class Worker {
  mode = 'pass';

  constructor({ store, id, service, cpu = 16_000, rack = 'r1', kind = 'k1', zone = 'z1', log }) {
    Object.assign(this, { store, id, service, cpu, rack, kind, zone, log });
    this.beginLife();
  }

  beginLife() {
    this.born = Date.now();
    this.startedMs = performance.now();
    this.running = new Map();
    this.ends = [];
    this.lastEnd = 0;
    this.highest = new Map();
    this.fence = 0;
    this.untilMs = 0;
    this.lapsedEnd = 0;
  }

  get clockMs() {
    return Math.floor(performance.now() - this.startedMs);
  }

  get usedCpu() {
    return [...this.running.values()].reduce((sum, { cpu }) => sum + cpu, 0);
  }

  async start() {
    this.server = await startHttpServer((request, body, response) =>
      this.serve(request, body, response),
    );
    this.announce();
    this.beatTimer = setInterval(() => this.announce(), BEAT_MS);
    this.tickTimer = setInterval(() => this.tick(), TICK_MS);
  }

  close() {
    clearInterval(this.beatTimer);
    clearInterval(this.tickTimer);
    this.server.close();
  }

  announce() {
    if (this.mode === 'down') return;
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      addr: this.server.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      seq: this.clockMs,
      capacity: { cpu: this.cpu, memMb: 32_000, gpu: 0 },
      labels: [this.kind, this.rack],
      born: this.born,
    });
  }

  /** The process ends: what runs is gone. */
  crash() {
    const runs = [...this.running.values()];
    this.log('worker-crash', { worker: this.id, runs: runs.map(({ task, run }) => [task, run]) });
    this.mode = 'down';
    this.running.clear();
    runs.forEach((one) => Worker.leaveGang(one, 'broken'));
  }

  /** A new process starts under the same id. */
  restart() {
    this.beginLife();
    this.mode = 'pass';
    this.log('worker-restart', { worker: this.id });
    this.announce();
  }

  tick() {
    const nowMs = performance.now();
    const lapsed = this.clockMs > this.untilMs;
    // An end that is listed while the lease lapses may be run again.
    if (lapsed) this.lapsedEnd = this.lastEnd;
    [...this.running.values()].forEach((one) => {
      if (lapsed) this.end(one, 'lapsed');
      else if (one.gang && !one.isWhole && nowMs - one.startMs > GANG_TIMEOUT_MS)
        this.end(one, 'alone');
      else if (nowMs >= one.endsMs) this.end(one, one.outcome);
    });
  }

  end(one, how) {
    if (this.running.get(one.task) !== one) return;
    this.running.delete(one.task);
    this.lastEnd += 1;
    this.ends.push([this.lastEnd, one.task, one.run, how, '']);
    this.note(one.task, one.run);
    Worker.leaveGang(one, how === 'done' ? 'done' : 'broken');
    this.log('end', { worker: this.id, task: one.task, run: one.run, how });
  }

  /** When one member of a gang ends, the others end, too: done with it, or broken. */
  static leaveGang(one, howOthers) {
    if (!one.gang) return;
    const members = gangs.get(one.gang) ?? [];
    gangs.delete(one.gang);
    members.filter((other) => other !== one).forEach((other) => other.worker.end(other, howOthers));
  }

  static joinGang(one, size, ms) {
    const members = [...(gangs.get(one.gang) ?? []), one];
    gangs.set(one.gang, members);
    if (members.length < size) return;
    const nowMs = performance.now();
    members.forEach((member) =>
      Object.assign(member, { isWhole: true, workMs: nowMs, endsMs: nowMs + ms }),
    );
  }

  note(task, run) {
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
  }

  async serve(request, body, response) {
    await sleep(ANSWER_MS);
    if (this.mode === 'down') {
      response.destroy();
      return undefined;
    }
    if (this.mode === 'silent') return undefined;
    if (request.headers['x-expect-instance'] !== this.id) return { status: 421 };
    const order = JSON.parse(body);
    const token = order.fencingToken ?? 0;
    if (token < this.fence) return this.refuse('fence');
    this.fence = token;
    if (request.url === '/v1/run-start') return this.runStart(order);
    if (request.url === '/v1/run-stop') return this.runStop(order);
    if (request.url === '/v1/pace') return this.receipt();
    return this.hold(order);
  }

  receipt() {
    return { status: 200, body: { clockMs: this.clockMs, born: this.born } };
  }

  refuse(reason) {
    return { status: 409, body: { clockMs: this.clockMs, reason, born: this.born } };
  }

  extend(untilMs) {
    if (untilMs === undefined) return;
    this.untilMs = Math.max(this.untilMs, Math.min(untilMs, this.clockMs + MAX_HOLD_MS));
  }

  runStart({ task, run, spec, untilMs, fencingToken }) {
    if (untilMs <= this.clockMs) return this.refuse('late');
    const known = this.running.get(task);
    if (known?.run === run) return this.receipt();
    if (known || run <= (this.highest.get(task) ?? 0)) {
      this.extend(untilMs);
      return this.refuse('old');
    }
    const { ms = 1_000, cpu = 1_000, lasts = false, outcome = 'done', gang = 0 } = JSON.parse(spec);
    if (this.usedCpu + cpu > this.cpu) {
      this.extend(untilMs);
      return this.refuse('room');
    }
    this.extend(untilMs);
    const nowMs = performance.now();
    const endsMs = lasts || gang > 0 ? FOREVER_MS : nowMs + ms;
    const one = {
      worker: this,
      task,
      run,
      cpu,
      startMs: nowMs,
      workMs: nowMs,
      endsMs,
      outcome,
      lasts,
    };
    this.running.set(task, one);
    if (gang > 0) {
      one.gang = `${task.slice(0, task.lastIndexOf('.'))}#${run}`;
      Worker.joinGang(one, gang, ms);
    }
    this.log('start', { worker: this.id, task, run, fencingToken, spec });
    return this.receipt();
  }

  runStop({ task, run }) {
    this.note(task, run);
    const one = this.running.get(task);
    if (one && one.run <= run) setTimeout(() => this.end(one, 'stopped'), STOP_MS);
    this.log('stop', { worker: this.id, task, run });
    return this.receipt();
  }

  async hold({ untilMs, lastSeen, waitMs = 0 }) {
    this.extend(untilMs);
    this.ends
      .filter(([number]) => number <= lastSeen && number > this.lapsedEnd)
      .forEach(([, task, run, how]) => this.log('noted', { worker: this.id, task, run, how }));
    this.ends = this.ends.filter(([number]) => number > lastSeen);
    const deadlineMs = performance.now() + waitMs;
    while (this.ends.length === 0 && performance.now() < deadlineMs) await sleep(TICK_MS);
    if (this.mode !== 'pass') return undefined;
    const running = [...this.running.values()].map((one) => Worker.rowOf(one));
    const body = {
      clockMs: this.clockMs,
      born: this.born,
      running,
      endedRuns: this.ends.slice(0, MAX_ENDS),
    };
    return { status: 200, body };
  }

  static rowOf({ task, run, workMs, endsMs, cpu, lasts }) {
    const nowMs = performance.now();
    const percent = lasts ? 100 : Math.floor((100 * (nowMs - workMs)) / (endsMs - workMs));
    return [task, run, '', Math.min(99, percent) + (lasts ? 1 : 0), cpu];
  }
}
