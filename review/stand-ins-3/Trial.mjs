// One run of a case: the record, the parts that were started, and the exit code.
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { call, sleep } from './http.mjs';
import { CannotRun } from './until.mjs';
import { Store } from './Store.mjs';
import { Entry } from './Entry.mjs';

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

export class Trial {
  lines = [];

  parts = [];

  entries = [];

  hasTrouble = process.env.TROUBLE !== '0';

  constructor(folder, root) {
    this.recordPath = join(folder, 'record.txt');
    this.root = root;
    this.startedMs = performance.now();
    this.record = this.record.bind(this);
  }

  get nowMs() {
    return Math.round(performance.now() - this.startedMs);
  }

  record(fields) {
    const line = { atMs: this.nowMs, ...fields };
    this.lines.push(line);
    return line;
  }

  async startStore(config) {
    this.folder = await mkdtemp(join(tmpdir(), 'review-3-'));
    this.store = new Store();
    this.parts.push(this.store);
    await this.store.listen();
    this.store.put('keyed.op', 'config', config);
    return this.store;
  }

  async addEntry(options) {
    const entry = await Entry.create({
      root: this.root,
      folder: this.folder,
      storeAddress: this.store.address,
      ...options,
    });
    this.entries.push(entry);
    entry.start();
    this.record({ event: 'entry-started', entry: entry.name, pid: entry.child.pid });
    return entry;
  }

  /** Sends a client's call to one entry after the other until it is answered for good, and records it. */
  async client(method, path, { host, key, body, tries = 5 }) {
    let answer = { status: 0 };
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const entry = this.entries[attempt % this.entries.length];
      this.record({ event: 'client-sent', method, path, entry: entry.name });
      answer = await call(entry.front, method, path, {
        headers: { host, 'x-api-key': key, 'x-deadline-ms': '3000' },
        body,
      });
      this.record({ event: 'client-answered', method, path, entry: entry.name, ...answer });
      if (answer.status !== 0 && answer.status < 500 && answer.status !== 429) return answer;
      await sleep(300);
    }
    return answer;
  }

  /** Runs the case, which returns the text of what was broken, or an empty string. */
  async run(play) {
    process.once('SIGTERM', () => this.finish(COULD_NOT_RUN, 'the case was stopped'));
    process.once('SIGINT', () => this.finish(COULD_NOT_RUN, 'the case was stopped'));
    const limit = setTimeout(
      () => this.finish(COULD_NOT_RUN, 'the case took longer than 115 s'),
      115_000,
    );
    try {
      const broken = await play();
      clearTimeout(limit);
      await this.finish(broken ? BROKEN : HELD, broken || 'the rule held');
    } catch (cause) {
      clearTimeout(limit);
      const isKnown = cause instanceof CannotRun;
      await this.finish(COULD_NOT_RUN, isKnown ? cause.message : String(cause?.stack ?? cause));
    }
  }

  /** Ends all that was started, writes the record and exits. */
  async finish(code, verdict) {
    this.entries.forEach((entry) => entry.end());
    this.parts.forEach((part) => part.close());
    this.record({ event: 'verdict', code, trouble: this.hasTrouble, verdict });
    const text = this.lines.map((line) => JSON.stringify(line)).join('\n');
    await writeFile(this.recordPath, `${text}\n`);
    process.stdout.write(`${verdict}\n`);
    if (process.env.KEEP_LOGS === '1') process.stdout.write(`logs: ${this.folder}\n`);
    else if (this.folder) await rm(this.folder, { recursive: true, force: true });
    // Connections of the ended parts may still be open.
    // eslint-disable-next-line n/no-process-exit
    process.exit(code);
  }
}
