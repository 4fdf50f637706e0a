// Runs the entry program with the command of the deploy file, as the platform does.
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { call } from './http.mjs';
import { until } from './until.mjs';

const RESTART_MS = 200;
const READY_WITHIN_MS = 15_000;

/** The words of `run` of the role `entry` in the deploy file. */
async function commandOf(root) {
  const text = await readFile(join(root, 'deploy', 'system.toml'), 'utf8');
  const [, run] = /\[roles\.entry\][^[]*?^run = "([^"]+)"/ms.exec(text) ?? [];
  if (!run) throw new Error('the deploy file has no command for the role entry');
  return run.split(' ');
}

/** Ports below the range from which the system takes those of outgoing connections. */
const FIRST_PORT = 12_000;
const PORTS = 18_000;
const taken = new Set();

function isFree(port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (taken.has(port) || !(await isFree(port))) continue;
    taken.add(port);
    ports.push(port);
  }
  return ports;
}

export class Entry {
  /** `options`: root, folder, name, zone, storeAddress, machinesAddress, cpuShare, cores, bounds, dutyPerS. */
  static async create(options) {
    const entry = new Entry();
    Object.assign(entry, options);
    const [front, ready, peer, metrics] = await freePorts(4);
    entry.front = `127.0.0.1:${front}`;
    entry.ready = `127.0.0.1:${ready}`;
    entry.settingsPath = join(entry.folder, `${entry.name}.toml`);
    entry.logPath = join(entry.folder, `${entry.name}.log`);
    const bounds = Object.entries(entry.bounds).map(([name, value]) => `${name} = ${value}`);
    entry.command = await commandOf(entry.root);
    await writeFile(
      entry.settingsPath,
      [
        `node = "${entry.name}"`,
        'role = "entry"',
        'machineClass = "frontend"',
        'serves = ["frontend"]',
        'ip = "127.0.0.1"',
        `zone = "${entry.zone}"`,
        `internalPortRange = [${peer}, ${metrics}]`,
        'bootstrap = true',
        'discovery = "platform"',
        'entry = "vip"',
        'heartbeatMs = 1500',
        'orders = "rpc"',
        '[listen]',
        `front = "${entry.front}"`,
        `ready = "${entry.ready}"`,
        '[limits]',
        `cpuShare = ${entry.cpuShare}`,
        `cores = ${entry.cores}`,
        'memoryMb = 350',
        '[bounds]',
        ...bounds,
        '[platform]',
        `addr = "${entry.storeAddress}"`,
        'form = "log"',
        'minTtlMs = 1000',
        ...(entry.machinesAddress === undefined
          ? []
          : [
              '[cloudApi]',
              `addr = "${entry.machinesAddress}"`,
              `ratePerS = 64.0`,
              `dutyPerS = ${entry.dutyPerS}.0`,
            ]),
      ].join('\n'),
    );
    return entry;
  }

  start() {
    const [program, ...words] = this.command;
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: this.root,
      env: { PATH, HOME, LANG, ACACIADOCK_CONFIG: this.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(this.logPath, { flags: 'a' });
    this.child.stdout.pipe(log);
    this.child.stderr.pipe(log);
    this.child.once('exit', () => {
      if (!this.isEnded) setTimeout(() => this.isEnded || this.start(), RESTART_MS).unref();
    });
  }

  /** Waits until the platform would send clients here. */
  awaitReady() {
    return until(`${this.name} is ready`, READY_WITHIN_MS, async () => {
      const { status } = await call(this.ready, 'GET', '/v1/ready', { timeoutMs: 500 });
      return status === 200;
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  end() {
    this.isEnded = true;
    if (!this.child) return;
    this.child.kill('SIGCONT');
    this.child.kill('SIGKILL');
  }
}
