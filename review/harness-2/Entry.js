/** An entry of the system: the program of the deploy file in a process of its own. */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep } from './HttpServer.js';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const RESTART_MS = 300;

/** The words of the command that the deploy file gives for each entry. */
async function deployCommand() {
  const file = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run = ''] = /^run = "(.*)"$/m.exec(file) ?? [];
  const [program, ...words] = run.split(' ');
  return { program: program === 'node' ? process.execPath : program, words };
}

function isFree(port) {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, '127.0.0.1', () => probe.close(() => resolve(true)));
  });
}

/** Ports that were handed out before; their processes may not have bound them yet. */
const usedPorts = new Set();

/** Finds a run of free ports below the range that the system gives to outgoing connections. */
export async function freePorts(count) {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const first = 12_000 + Math.floor(Math.random() * 18_000);
    const ports = Array.from({ length: count }, (_, index) => first + index);
    const isUsed = ports.some((port) => usedPorts.has(port));
    const free = isUsed ? [false] : await Promise.all(ports.map(isFree));
    if (free.every((one) => one)) {
      ports.forEach((port) => usedPorts.add(port));
      return ports;
    }
  }
  throw new Error('no free ports');
}

/** Sends one request over a new channel; resolves with the status, or with `error` without one. */
export function send({ port, method, path, headers = {}, body, limitMs = 3_000 }) {
  return new Promise((resolve) => {
    const startedMs = performance.now();
    const finish = (answer) =>
      resolve({ ...answer, tookMs: Math.round(performance.now() - startedMs) });
    const request = httpRequest({ host: '127.0.0.1', port, method, path, headers, agent: false });
    const timer = setTimeout(() => {
      finish({ error: 'no answer' });
      request.destroy();
    }, limitMs);
    request.on('response', (response) => {
      let text = '';
      response.on('data', (chunk) => {
        text += chunk;
      });
      response.on('end', () => {
        clearTimeout(timer);
        finish({ status: response.statusCode, text });
      });
      response.on('error', () => finish({ error: 'broken' }));
    });
    request.on('error', (cause) => {
      clearTimeout(timer);
      finish({ error: cause.code ?? String(cause) });
    });
    request.end(body);
  });
}

export class Entry {
  isEnded = false;

  constructor(options) {
    Object.assign(this, options);
  }

  static async create({ index, folder, storeAddress, machinesAddress, log, settings = {} }) {
    const [front, ready, peer, metrics] = await freePorts(4);
    const entry = new Entry({ index, folder, log, front, ready });
    entry.name = `frontend-${index}`;
    entry.settingsPath = join(folder, `${entry.name}.toml`);
    const { cpuShare = 0.675 } = settings;
    const text = `
node = "${entry.name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "z${(index % 3) + 1}"
region = "south"
internalPortRange = [${peer}, ${metrics}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "rpc"
advice = ""
[listen]
front = "127.0.0.1:${front}"
ready = "127.0.0.1:${ready}"
[limits]
cpuShare = ${cpuShare}
cores = 1
memoryMb = 350
maxFds = 4100
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
maxHoldMs = 6000
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
status_s = 120
noticeMs = 4500
moveS = 1.5
maintenanceS = 2
enforceFencing = true
leaseMs = 3000
harmMs = 4000
[platform]
addr = "${storeAddress}"
form = "log"
recordBytes = 262144
callBytes = 2097152
keep_s = 300
minTtlMs = 1000
${machinesAddress === undefined ? '' : `[cloudApi]\naddr = "${machinesAddress}"\ndutyPerS = 64.0\n`}`;
    await writeFile(entry.settingsPath, text);
    entry.command = await deployCommand();
    entry.output = createWriteStream(join(folder, `${entry.name}.log`));
    entry.spawn();
    return entry;
  }

  spawn() {
    const { program, words } = this.command;
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, ACACIADOCK_CONFIG: this.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    child.stdout.pipe(this.output, { end: false });
    child.stderr.pipe(this.output, { end: false });
    child.once('exit', (code, signal) => {
      this.log('entry-exit', { entry: this.name, code, signal });
      if (!this.isEnded) setTimeout(() => this.isEnded || this.spawn(), RESTART_MS);
    });
  }

  signal(name) {
    this.log('signal', { entry: this.name, signal: name });
    this.child.kill(name);
  }

  end() {
    this.isEnded = true;
    this.child.kill('SIGCONT');
    this.child.kill('SIGKILL');
    this.output.end();
  }

  /** Whether the balancer's check is answered with 200. */
  async isReady() {
    const { status } = await send({ port: this.ready, method: 'GET', path: '/v1/ready' });
    return status === 200;
  }

  async untilReady(limitMs = 20_000) {
    const deadlineMs = performance.now() + limitMs;
    while (performance.now() < deadlineMs) {
      if (await this.isReady()) return;
      await sleep(100);
    }
    throw new Error(`${this.name} does not become ready`);
  }
}
