/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it: a log with conditional appends,
 * keyed topics and groups. Each entry has an address of its own, so that the store may turn single
 * entries away. A mode is `pass`, `busy` (503, nothing is done), `silent`, `reset` (both do nothing), `lost`
 * (done and not answered) or `late` (done up to 3 s later and not answered).
 */
import { sleep, startHttpServer } from './HttpServer.js';
import { Partition } from './Partition.js';

const APPEND_MS = 3;
const ANSWER_MS = 1;
const PAGE_ITEMS = 500;
const MAX_LATE_MS = 3_000;
const MAX_READ_BYTES = 1_048_576;
const MAX_RECORD_BYTES = 262_144;

function decodeRecords(body) {
  const records = [];
  let position = 0;
  while (position + 4 <= body.length) {
    const start = position + 4;
    position = start + body.readUInt32BE(position);
    const keyEnd = start + 1 + body[start];
    records.push({
      key: body.subarray(start + 1, keyEnd).toString('utf8'),
      value: Buffer.from(body.subarray(keyEnd, position)),
      bytes: position - start,
    });
  }
  return records;
}

function encodeSlice(records, from) {
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(records.length), 0);
  const parts = [head];
  let bytes = 0;
  for (let offset = from; offset < records.length && bytes < MAX_READ_BYTES; offset += 1) {
    const { key, value } = records[offset];
    const keyBytes = Buffer.from(key);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(1 + keyBytes.length + value.length);
    parts.push(length, Buffer.from([keyBytes.length]), keyBytes, value);
    bytes += 5 + keyBytes.length + value.length;
  }
  return Buffer.concat(parts);
}

export class Store {
  partitions = new Map();

  members = new Map();

  generation = 0;

  /** Mode of each entry's address, by the entry's index. */
  modes = new Map();

  servers = [];

  partition(topic, part = 0) {
    const name = `${topic}/${part}`;
    if (!this.partitions.has(name)) this.partitions.set(name, new Partition());
    return this.partitions.get(name);
  }

  /** Writes as the operator or a worker does. */
  put(topic, key, value) {
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.partition(topic).append(key, bytes);
  }

  read(topic, key) {
    const record = this.partition(topic).newest.get(key);
    return record && JSON.parse(record.value.toString('utf8'));
  }

  /** The address of the store for one entry. */
  async addressFor(index) {
    const server = await startHttpServer((request, body, response) =>
      this.serve(index, request, body, response),
    );
    this.servers.push(server);
    this.modes.set(index, 'pass');
    return server.address;
  }

  setMode(mode, indexes = [...this.modes.keys()]) {
    indexes.forEach((index) => this.modes.set(index, mode));
  }

  close() {
    this.servers.forEach((server) => server.close());
  }

  async serve(index, request, body, response) {
    const url = new URL(request.url, 'http://store');
    await sleep(ANSWER_MS);
    const refusal = this.refusalFor(index, response);
    if (refusal) return refusal.answer;
    const isWrite = url.pathname === '/v1/log-append';
    if (isWrite && this.modes.get(index) === 'late') await sleep(Math.random() * MAX_LATE_MS);
    const answer = await this.answer(url, body);
    if (isWrite && ['lost', 'late'].includes(this.modes.get(index))) return undefined;
    // The mode may have changed while the call waited.
    if (this.modes.get(index) === 'silent') return undefined;
    if (this.modes.get(index) === 'reset') response.destroy();
    return answer;
  }

  refusalFor(index, response) {
    const mode = this.modes.get(index);
    if (['pass', 'lost', 'late'].includes(mode)) return undefined;
    if (mode === 'busy') return { answer: { status: 503, body: {} } };
    if (mode === 'reset') response.destroy();
    return { answer: undefined };
  }

  async answer(url, body) {
    const query = url.searchParams;
    const partition = () => this.partition(query.get('topic'), Number(query.get('part') ?? 0));
    if (url.pathname === '/v1/log-append') return Store.append(partition(), query.get('at'), body);
    if (url.pathname === '/v1/log-read') return Store.readFrom(partition(), query);
    if (url.pathname === '/v1/log-newest') return Store.newestOf(partition(), query);
    if (url.pathname === '/v1/log-join') return this.join(JSON.parse(body));
    if (url.pathname === '/v1/log-leave') return this.leave(JSON.parse(body));
    if (url.pathname === '/v1/log-owners') return this.owners();
    return { status: 400, body: {} };
  }

  static async append(partition, at, body) {
    const turn = partition.busy;
    let done = () => undefined;
    Object.assign(partition, {
      busy: new Promise((resolve) => {
        done = resolve;
      }),
    });
    await turn;
    await sleep(APPEND_MS);
    const records = decodeRecords(body);
    const end = partition.records.length;
    let answer;
    if (at !== null && Number(at) !== end) answer = { status: 412, body: { end } };
    else if (records.some(({ bytes }) => bytes > MAX_RECORD_BYTES)) answer = { status: 400 };
    else {
      records.forEach(({ key, value }) => partition.append(key, value));
      answer = { status: 200, body: { offset: end, end: partition.records.length } };
    }
    done();
    return answer;
  }

  static async readFrom(partition, query) {
    const from = Number(query.get('from'));
    const untilMs = performance.now() + Number(query.get('waitMs') ?? 0);
    while (partition.records.length <= from && performance.now() < untilMs) await sleep(10);
    return { status: 200, body: encodeSlice(partition.records, from) };
  }

  static newestOf(partition, query) {
    const after = query.get('after') ?? '';
    const left = [...partition.newest.values()]
      .filter(({ key }) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = left
      .slice(0, PAGE_ITEMS)
      .map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }));
    const morePages = left.length > items.length;
    return { status: 200, body: { items, morePages, end: partition.records.length } };
  }

  join({ member, ttlMs }) {
    this.dropExpired();
    if (!this.members.has(member)) this.generation += 1;
    this.members.set(member, performance.now() + ttlMs);
    return { status: 200, body: { generation: this.generation, parts: [] } };
  }

  leave({ member }) {
    if (this.members.delete(member)) this.generation += 1;
    return { status: 200, body: {} };
  }

  owners() {
    this.dropExpired();
    const rows = [...this.members.keys()].map((member, part) => ['roll.0', part, member, 0]);
    return { status: 200, body: { rows } };
  }

  dropExpired() {
    [...this.members]
      .filter(([, untilMs]) => untilMs < performance.now())
      .forEach(([member]) => {
        this.members.delete(member);
        this.generation += 1;
      });
  }
}
