// A worker of the platform: runs tasks under a lease, keeps the highest fence number, lists ends.
import { LoopbackServer, sleep } from './http.mjs';
import { Link } from './Link.mjs';

const HEARTBEAT_MS = 1_500;
const POLL_MS = 5;
const STOP_MS = 20;
const TICK_MS = 25;
const CHECKPOINT_MS = 500;
const RESTORE_MS = 250;

export class Worker {
  /**
   * `options`: id, service, zone, labels, capacity, maxHoldMs, store, record, and `runtimeMsOf(task)`,
   * which says for how long a task works (Infinity for one that lasts). `clockRate` is the speed of the
   * worker's clock; with `hasLink`, a link that can be cut stands in front of the worker. With
   * `checkpointOf(task, workMs)`, tasks save their progress, and a start that carries it resumes there.
   */
  constructor(options) {
    Object.assign(this, options);
    this.isUp = false;
  }

  /** Starts a lifetime, which registers after `registerAfterMs`. */
  async start(registerAfterMs = 0) {
    this.bornUnixMs = Date.now();
    this.bornMs = performance.now();
    this.isUp = true;
    this.fence = 0;
    this.leaseUntilMs = 0;
    this.lastEnd = 0;
    this.running = new Map();
    this.ended = [];
    this.closedRuns = new Map();
    this.server = new LoopbackServer((call) => this.serve(call));
    // Another lifetime has the same address.
    this.addr = await this.server.listen(this.port ?? 0);
    this.port = Number(this.addr.split(':')[1]);
    if (this.hasLink) {
      this.link = new Link(this.addr);
      this.addr = await this.link.listen();
    }
    this.tick = setInterval(() => this.expire(), TICK_MS);
    this.registration = setTimeout(() => this.announce(), registerAfterMs);
    this.heartbeat = setInterval(() => this.announce(), HEARTBEAT_MS);
    this.record({ event: 'worker-started', worker: this.id, labels: this.labels });
  }

  /** Ends without notice: connections are reset, nothing that ran is left, the registration expires. */
  crash() {
    this.stopServing();
    const tasks = [...this.running.values()].map(({ task, run }) => `${task}#${run}`);
    this.record({ event: 'worker-crashed', worker: this.id, tasks });
    this.running.clear();
    setTimeout(() => {
      if (!this.isUp) this.store.put('keyed.servers', this.id, undefined);
    }, 3 * HEARTBEAT_MS).unref();
  }

  /** Crashes and starts again under its id and at its address, perhaps as another kind. */
  async restart({ downMs, labels, registerAfterMs }) {
    this.stopServing();
    this.record({ event: 'worker-crashed', worker: this.id, tasks: [...this.running.keys()] });
    await sleep(downMs);
    this.labels = labels;
    await this.start(registerAfterMs);
  }

  /** Ends as ordered by the platform; the registration goes at once. */
  leave() {
    if (!this.isUp) return;
    this.stopServing();
    const tasks = [...this.running.values()].map(({ task, run }) => `${task}#${run}`);
    this.record({ event: 'worker-left', worker: this.id, tasks });
    this.running.clear();
    this.store.put('keyed.servers', this.id, undefined);
  }

  stopServing() {
    this.isUp = false;
    clearInterval(this.tick);
    clearTimeout(this.registration);
    clearInterval(this.heartbeat);
    this.server.close();
    this.link?.close();
  }

  get clockMs() {
    return Math.floor((performance.now() - this.bornMs) * (this.clockRate ?? 1));
  }

  announce() {
    const { service, addr, zone, capacity, labels, bornUnixMs } = this;
    this.seq = (this.seq ?? 0) + 1;
    this.store.put('keyed.servers', this.id, {
      service,
      addr,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      capacity,
      labels,
      clockMs: this.clockMs,
      born: bornUnixMs,
      seq: this.seq,
    });
  }

  async serve({ url, headers, body }) {
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) return { status: 421 };
    const order = JSON.parse(body.toString('utf8'));
    const token = order.fencingToken ?? 0;
    if (token < this.fence) return this.refuse('fence');
    this.fence = token;
    switch (url.pathname) {
      case '/v1/run-start':
        return this.startRun(order);
      case '/v1/run-stop':
        return this.stopRun(order);
      case '/v1/pace':
        return this.receipt();
      default:
        return this.hold(order);
    }
  }

  receipt() {
    return { status: 200, body: { clockMs: this.clockMs, born: this.bornUnixMs } };
  }

  refuse(reason) {
    return { status: 409, body: { clockMs: this.clockMs, born: this.bornUnixMs, reason } };
  }

  extend(untilMs) {
    if (untilMs === undefined) return;
    const allowed = Math.min(untilMs, this.clockMs + this.maxHoldMs);
    this.leaseUntilMs = Math.max(this.leaseUntilMs, allowed);
  }

  startRun({ task, run, untilMs, fencingToken, checkpoint = '' }) {
    const known = this.running.get(task);
    if (known?.run === run) return this.receipt();
    if (untilMs <= this.clockMs) return this.refuse('late');
    this.extend(untilMs);
    if (known || (this.closedRuns.get(task) ?? 0) >= run) return this.refuse('old');
    // A checkpoint begins with the work in milliseconds that it holds.
    const savedMs = checkpoint === '' ? 0 : parseInt(checkpoint, 10);
    const runtimeMs = this.runtimeMsOf(task);
    const startedMs = performance.now() - savedMs + (checkpoint === '' ? 0 : RESTORE_MS);
    const one = {
      task,
      run,
      startedMs,
      runtimeMs,
      saved: checkpoint,
      atWorkMs: performance.now(),
    };
    this.running.set(task, one);
    this.record({
      event: 'task-started',
      worker: this.id,
      labels: this.labels,
      task,
      run,
      fencingToken,
    });
    if (runtimeMs < Infinity) {
      const leftMs = startedMs + runtimeMs - performance.now();
      setTimeout(() => this.end(one, 'done'), leftMs).unref();
    }
    return this.receipt();
  }

  stopRun({ task, run }) {
    const known = this.running.get(task);
    this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0));
    if (known?.run === run) setTimeout(() => this.end(known, 'stopped'), STOP_MS).unref();
    return this.receipt();
  }

  end(one, how) {
    const { task, run } = one;
    if (!this.isUp || this.running.get(task) !== one) return;
    this.running.delete(task);
    this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0));
    this.lastEnd += 1;
    this.ended.push([this.lastEnd, task, run, how, this.savedOf(one)]);
    this.record({ event: 'task-ended', worker: this.id, task, run, how });
  }

  /** The newest checkpoint: one with each half second of work. */
  savedOf(one) {
    if (!this.checkpointOf) return '';
    const workMs = Math.max(0, performance.now() - one.startedMs);
    const steps = Math.floor(workMs / CHECKPOINT_MS);
    if (steps > 0)
      Object.assign(one, { saved: this.checkpointOf(one.task, steps * CHECKPOINT_MS) });
    return one.saved;
  }

  expire() {
    if (this.running.size === 0 || this.clockMs < this.leaseUntilMs) return;
    [...this.running.values()].forEach((one) => this.end(one, 'lapsed'));
  }

  async hold({ lastSeen, untilMs, waitMs = 0 }) {
    this.extend(untilMs);
    this.ended = this.ended.filter(([number]) => number > lastSeen);
    const dueMs = performance.now() + waitMs;
    while (this.isUp && this.ended.length === 0 && performance.now() < dueMs) await sleep(POLL_MS);
    if (!this.isUp) return undefined;
    const nowMs = performance.now();
    const running = [...this.running.values()].map((one) => {
      const share =
        one.runtimeMs === Infinity ? 1 : Math.min(0.99, (nowMs - one.startedMs) / one.runtimeMs);
      return [one.task, one.run, this.savedOf(one), Math.max(0, Math.floor(share * 100)), 0];
    });
    return {
      status: 200,
      body: {
        clockMs: this.clockMs,
        born: this.bornUnixMs,
        running,
        endedRuns: this.ended.slice(0, 500),
      },
    };
  }
}
