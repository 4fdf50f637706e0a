// The platform's store: keyed topics with one partition, conditional appends, long polls and a group.
import { LoopbackServer, sleep } from './http.mjs';
import { Topic } from './Topic.mjs';

const ANSWER_MS = 4;
const APPEND_MS = 3;
const POLL_MS = 5;
const PAGE_ITEMS = 500;

/** Most bytes of a record and of the records of one call (`recordBytes`, `callBytes`). */
const RECORD_BYTES = 262_144;
const CALL_BYTES = 2_097_152;

export class Store {
  topics = new Map();

  members = new Map();

  generation = 0;

  /** Called with the topic, key and parsed value of each record that the system appends. */
  onRecord = () => undefined;

  /** Called with the topic of which the newest records are read. */
  onNewest = () => undefined;

  constructor() {
    this.server = new LoopbackServer((call) => this.serve(call));
  }

  async listen() {
    this.address = await this.server.listen();
    return this.address;
  }

  close() {
    this.server.close();
  }

  topic(name) {
    if (!this.topics.has(name)) this.topics.set(name, new Topic());
    return this.topics.get(name);
  }

  /** Writes a record as the operator or as a worker does; undefined drops the key. */
  put(topic, key, value) {
    this.topic(topic).add(
      key,
      value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)),
    );
  }

  async serve(call) {
    await sleep(ANSWER_MS);
    const { url, body } = call;
    const topic = this.topic(url.searchParams.get('topic') ?? '');
    switch (url.pathname) {
      case '/v1/log-append':
        return this.append(topic, url.searchParams, body);
      case '/v1/log-read':
        return Store.read(topic, url.searchParams);
      case '/v1/log-newest':
        this.onNewest(url.searchParams.get('topic'));
        return Store.newestPage(topic, url.searchParams.get('after') ?? '');
      case '/v1/log-join':
        return this.join(JSON.parse(body.toString('utf8')));
      case '/v1/log-leave':
        return this.leave(JSON.parse(body.toString('utf8')));
      case '/v1/log-owners':
        return this.owners();
      default:
        return { status: 400, body: {} };
    }
  }

  /** A partition carries its appends out one after the other. */
  append(topic, query, body) {
    const turn = topic.appending
      .then(() => sleep(APPEND_MS))
      .then(() => this.appendNow(topic, query, body));
    Object.assign(topic, { appending: turn.catch(() => undefined) });
    return turn;
  }

  appendNow(topic, query, body) {
    const at = query.get('at');
    const end = topic.records.length;
    if (at !== null && Number(at) !== end) return { status: 412, body: { end } };
    if (!Store.isWithinLimits(body)) {
      this.refusedAppends = (this.refusedAppends ?? 0) + 1;
      return { status: 400, body: {} };
    }
    let position = 0;
    while (position + 4 <= body.length) {
      const start = position + 4;
      position = start + body.readUInt32BE(position);
      const keyEnd = start + 1 + body[start];
      const key = body.subarray(start + 1, keyEnd).toString('utf8');
      const value = Buffer.from(body.subarray(keyEnd, position));
      topic.add(key, value);
      this.onRecord(query.get('topic'), key, value);
    }
    return { status: 200, body: { offset: end, end: topic.records.length } };
  }

  /** Records are appended all or nothing. */
  static isWithinLimits(body) {
    let position = 0;
    while (position + 4 <= body.length) {
      const bytes = body.readUInt32BE(position);
      if (bytes > RECORD_BYTES) return false;
      position += 4 + bytes;
    }
    return position <= CALL_BYTES;
  }

  static async read(topic, query) {
    const from = Number(query.get('from'));
    const untilMs = performance.now() + Number(query.get('waitMs') ?? 0);
    while (topic.records.length <= from && performance.now() < untilMs) await sleep(POLL_MS);
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = [head];
    let bytes = 0;
    for (const { key, value } of topic.records.slice(from)) {
      const keyBytes = Buffer.from(key);
      const length = Buffer.alloc(5);
      length.writeUInt32BE(1 + keyBytes.length + value.length, 0);
      length[4] = keyBytes.length;
      parts.push(length, keyBytes, value);
      bytes += 5 + keyBytes.length + value.length;
      if (bytes > 1_000_000) break;
    }
    return { status: 200, body: Buffer.concat(parts) };
  }

  static newestPage(topic, after) {
    const all = [...topic.newest.values()]
      .filter(({ key }) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = all
      .slice(0, PAGE_ITEMS)
      .map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }));
    return {
      status: 200,
      body: { items, morePages: all.length > items.length, end: topic.records.length },
    };
  }

  join({ member, ttlMs }) {
    if (!this.members.has(member)) this.generation += 1;
    this.members.set(member, { atMs: performance.now(), ttlMs });
    this.expire();
    return { status: 200, body: { generation: this.generation, parts: [] } };
  }

  leave({ member }) {
    if (this.members.delete(member)) this.generation += 1;
    return { status: 200, body: {} };
  }

  owners() {
    this.expire();
    const rows = [...this.members.keys()].map((member, part) => ['roll.0', part, member, 0]);
    return { status: 200, body: { rows } };
  }

  expire() {
    this.members.forEach(({ atMs, ttlMs }, member) => {
      if (performance.now() - atMs <= ttlMs) return;
      this.members.delete(member);
      this.generation += 1;
    });
  }
}
