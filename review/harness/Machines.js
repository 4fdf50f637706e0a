/** Stand-in for the platform's machine service: lists machines and takes them down for upkeep. */
import { HttpStandIn } from './HttpStandIn.js';

const MAINTENANCE_MS = 2_000;

export class Machines {
  /** Highest fence number of each machine, by its name. */
  fences = new Map();

  states = new Map();

  done = new Map();

  /** Called when an upkeep begins, before its worker is terminated. */
  onUpkeep = () => undefined;

  async listen(deployment) {
    this.deployment = deployment;
    this.http = new HttpStandIn((call) => this.serve(call));
    return this.http.listen('127.0.0.9', 0);
  }

  static nameOf(worker) {
    return `m-${worker.id}`;
  }

  serve({ method, url, headers, body }) {
    if (method === 'GET' && url.pathname === '/v1/machines') return this.list();
    if (url.pathname === '/v1/machine-upkeep') return this.upkeep(headers, JSON.parse(body));
    return { status: 400, body: {} };
  }

  list() {
    const machines = this.deployment.workers.map((worker) => ({
      machine: Machines.nameOf(worker),
      pool: worker.service,
      state: this.states.get(worker.id) ?? 'up',
      zone: 'zone-a',
      labels: worker.labels,
      capacity: { cpu: worker.cpu, memMb: worker.memMb, gpu: 0 },
      id: worker.id,
    }));
    return { status: 200, body: { machines } };
  }

  upkeep(headers, { machine, wave }) {
    const { record, workers } = this.deployment;
    const holder = headers['x-duty-holder'];
    const fence = Number(headers['x-fencing-token']);
    const worker = workers.find((one) => Machines.nameOf(one) === machine);
    const answer = (status, reason) => {
      record('upkeep-ordered', { machine, wave, holder, fence, status, reason });
      return { status, body: reason ? { reason } : {} };
    };
    if (!worker) return answer(400);
    if (fence < (this.fences.get(machine) ?? 0)) return answer(409, 'fence');
    this.fences.set(machine, fence);
    if (this.done.get(machine) === wave) return answer(200);
    if (this.states.has(worker.id)) return answer(409, 'busy');
    this.done.set(machine, wave);
    this.onUpkeep({ worker, holder, fence });
    this.states.set(worker.id, 'upkeep');
    this.renew(worker);
    return answer(200);
  }

  /** Terminates what runs, and lets a new worker join after the upkeep. */
  async renew(worker) {
    this.deployment.store.put('keyed.servers', worker.id);
    await worker.crash();
    setTimeout(async () => {
      Object.assign(worker, { id: `${worker.id}x`, port: 0 });
      this.states.clear();
      await worker.begin();
    }, MAINTENANCE_MS);
  }
}
