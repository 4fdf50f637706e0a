/**
 * Stand-in for the platform's store: keyed topics with conditional appends, reads that wait, the newest
 * records, and one group. It keeps the limits of the settings on records and calls.
 */
import { HttpStandIn } from './HttpStandIn.js';

const LATENCY_MS = 4;
const POLL_MS = 5;
const PAGE_ITEMS = 500;
const READ_BYTES = 1_048_576;
const HEAD_BYTES = 16;
const LENGTH_BYTES = 4;

/** As in the settings that the entries get. */
export const RECORD_BYTES = 262_144;
export const CALL_BYTES = 2_097_152;

const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

function encode({ key, value }) {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + keyBytes.length + value.length);
  head[LENGTH_BYTES] = keyBytes.length;
  return Buffer.concat([head, keyBytes, value]);
}

/** Returns undefined if a record or the call is larger than the store permits. */
function decode(body) {
  if (body.length > CALL_BYTES) return undefined;
  const records = [];
  let position = 0;
  while (position + LENGTH_BYTES <= body.length) {
    const start = position + LENGTH_BYTES;
    const length = body.readUInt32BE(position);
    if (length > RECORD_BYTES || start + length > body.length) return undefined;
    position = start + length;
    const keyEnd = start + 1 + body[start];
    records.push({
      key: body.toString('utf8', start + 1, keyEnd),
      value: Buffer.from(body.subarray(keyEnd, position)),
    });
  }
  return records;
}

export class Store {
  topics = new Map();

  members = new Map();

  generation = 0;

  /** Appends that were refused because of their size. */
  oversizeAppends = 0;

  /** Returns a reaction in place of the usual one to a call, or undefined. */
  intercept = () => undefined;

  http = new HttpStandIn((call) => this.serve(call));

  topic(name) {
    if (!this.topics.has(name)) this.topics.set(name, []);
    return this.topics.get(name);
  }

  put(name, key, value) {
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.topic(name).push({ key, value: bytes });
  }

  newestOf(name) {
    const newest = new Map();
    this.topic(name).forEach(({ key, value }, offset) => {
      if (value.length === 0) newest.delete(key);
      else newest.set(key, { key, value, offset });
    });
    return [...newest.values()].sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  async serve(call) {
    await sleep(LATENCY_MS);
    const intercepted = await this.intercept(call);
    if (intercepted !== undefined) return intercepted;
    return this.answer(call);
  }

  answer({ url, body }) {
    const topic = url.searchParams.get('topic') ?? '';
    switch (url.pathname) {
      case '/v1/log-append':
        return this.append(topic, url.searchParams.get('at'), body);
      case '/v1/log-read':
        return this.read(topic, url.searchParams);
      case '/v1/log-newest':
        return this.newest(topic, url.searchParams.get('after') ?? '');
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

  append(name, at, body) {
    if (name === 'keyed.op' || name === 'keyed.servers') return { status: 403, body: {} };
    const records = decode(body);
    if (!records) {
      this.oversizeAppends += 1;
      return { status: 400, body: {} };
    }
    const topic = this.topic(name);
    if (at !== null && Number(at) !== topic.length) {
      return { status: 412, body: { end: topic.length } };
    }
    const offset = topic.length;
    records.forEach((record) => topic.push(record));
    return { status: 200, body: { offset, end: topic.length } };
  }

  async read(name, query) {
    const topic = this.topic(name);
    const from = Number(query.get('from'));
    const untilMs = performance.now() + Number(query.get('waitMs') ?? 0);
    while (topic.length <= from && performance.now() < untilMs) await sleep(POLL_MS);
    const head = Buffer.alloc(HEAD_BYTES);
    head.writeBigUInt64BE(BigInt(topic.length));
    const parts = [head];
    let bytes = 0;
    for (let offset = from; offset < topic.length && bytes < READ_BYTES; offset += 1) {
      const part = encode(topic[offset]);
      bytes += part.length;
      parts.push(part);
    }
    return { status: 200, body: Buffer.concat(parts) };
  }

  newest(name, after) {
    const left = this.newestOf(name).filter(({ key }) => key > after);
    const page = [];
    let bytes = 0;
    for (const { key, value, offset } of left) {
      if (page.length >= PAGE_ITEMS || bytes > READ_BYTES) break;
      bytes += value.length;
      page.push({ key, value: value.toString('base64'), offset });
    }
    const end = this.topic(name).length;
    return { status: 200, body: { items: page, morePages: left.length > page.length, end } };
  }

  join({ member, ttlMs }) {
    if (!this.members.has(member)) this.generation += 1;
    this.members.set(member, performance.now() + ttlMs);
    this.expireMembers();
    return { status: 200, body: { generation: this.generation, parts: [] } };
  }

  leave({ member }) {
    if (this.members.delete(member)) this.generation += 1;
    return { status: 200, body: {} };
  }

  owners() {
    this.expireMembers();
    const rows = [...this.members.keys()].map((member, part) => ['roll.0', part, member, 0]);
    return { status: 200, body: { rows } };
  }

  expireMembers() {
    this.members.forEach((untilMs, member) => {
      if (performance.now() <= untilMs) return;
      this.members.delete(member);
      this.generation += 1;
    });
  }
}
