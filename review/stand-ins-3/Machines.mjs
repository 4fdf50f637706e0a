// The platform's machine service: each machine runs one worker, in one pool, and takes one order at a time.
import { LoopbackServer, sleep } from './http.mjs';
import { Worker } from './Worker.mjs';

const ANSWER_MS = 8;

export class Machines {
  machines = new Map();

  /** Waves by number: the machines that are due. */
  waves = new Map();

  /** How many times as long answers take. */
  slowdown = 1;

  /** Called with each order as it arrives. */
  onOrder = () => undefined;

  orderTimes = [];

  /** `options`: store, record, moveMs, maintenanceMs, dutyPerS, enforceFencing, sparePool, worker options. */
  constructor(options) {
    Object.assign(this, options);
    this.server = new LoopbackServer((call) => this.serve(call));
  }

  async listen() {
    this.address = await this.server.listen();
    return this.address;
  }

  close() {
    this.server.close();
    this.machines.forEach(({ worker }) => {
      if (worker?.isUp) worker.stopServing();
    });
  }

  async add(machine, pool, { zone, rack, capacity }) {
    const one = {
      machine,
      pool,
      state: 'up',
      zone,
      labels: ['a', rack],
      capacity,
      life: 0,
      done: new Set(),
    };
    this.machines.set(machine, one);
    await this.boot(one);
  }

  /** A worker is one life of a machine; a machine in the spare pool is off. */
  async boot(one) {
    const life = one.life + 1;
    const worker = new Worker({
      ...this.workerOptions,
      id: `i-${one.machine}-${life}`,
      service: one.pool,
      zone: one.zone,
      labels: one.labels,
      capacity: one.capacity,
      store: this.store,
      record: this.record,
    });
    Object.assign(one, { life, worker, state: 'up' });
    if (one.pool !== this.sparePool) await worker.start();
  }

  /** The worker crashes and another one follows on the machine. */
  async crash(machine, downMs) {
    const one = this.machines.get(machine);
    one.worker.crash();
    one.state = 'down';
    await sleep(downMs);
    await this.boot(one);
  }

  async serve(call) {
    const isOrder = call.url.pathname !== '/v1/machines';
    if (isOrder) this.onOrder(call);
    const answer = isOrder ? this.order(call) : undefined;
    await sleep(ANSWER_MS * this.slowdown);
    return answer ?? this.list();
  }

  list() {
    const machines = [...this.machines.values()].map(
      ({ machine, pool, state, zone, labels, capacity, worker }) => ({
        machine,
        pool,
        state,
        zone,
        labels,
        capacity,
        id: worker.id,
      }),
    );
    return { status: 200, body: { machines, nextToken: '' } };
  }

  /** An order is carried out as it arrives; only its answer is slow. */
  order({ url, headers, body }) {
    const { machine, pool, wave } = JSON.parse(body.toString('utf8'));
    const holder = headers['x-duty-holder'];
    const token = Number(headers['x-fencing-token']);
    const nowMs = performance.now();
    const one = this.machines.get(machine);
    const kind = url.pathname === '/v1/machine-move' ? 'move' : 'upkeep';
    this.orderTimes = this.orderTimes.filter((atMs) => nowMs - atMs < 1_000);
    const answer = this.decide(one, { kind, pool, wave, token });
    this.record({
      event: 'machine-order',
      kind,
      machine,
      pool,
      wave,
      holder,
      token,
      status: answer.status,
      ...answer.body,
    });
    return answer;
  }

  decide(one, { kind, pool, wave, token }) {
    if (!one) return { status: 400 };
    if (this.orderTimes.length >= this.dutyPerS) return { status: 429 };
    this.orderTimes.push(performance.now());
    if (this.enforceFencing && token < (one.token ?? 0))
      return { status: 409, body: { reason: 'fence' } };
    Object.assign(one, { token: Math.max(token, one.token ?? 0) });
    if (kind === 'upkeep' && !this.waves.get(wave)?.includes(one.machine))
      return { status: 409, body: { reason: 'wave' } };
    if (kind === 'upkeep' && one.done.has(wave)) return { status: 200, body: {} };
    if (kind === 'move' && one.pool === pool && one.state === 'up')
      return { status: 200, body: {} };
    if (one.state !== 'up') return { status: 409, body: { reason: 'busy' } };
    void this.carryOut(one, kind, pool, wave);
    return { status: 200, body: {} };
  }

  async carryOut(one, kind, pool, wave) {
    one.worker.leave();
    if (kind === 'upkeep') one.done.add(wave);
    Object.assign(one, { state: kind === 'upkeep' ? 'upkeep' : 'moving' });
    await sleep(kind === 'upkeep' ? this.maintenanceMs : this.moveMs);
    if (kind === 'move') Object.assign(one, { pool });
    await this.boot(one);
  }
}
