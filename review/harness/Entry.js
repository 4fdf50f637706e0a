/** Runs an entry with the command of the deploy file and, like the platform, starts it again when it ends. */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url));

const RESTART_MS = 300;

/** The words of `run` under `[roles.entry]`. */
async function deployCommand() {
  const text = await readFile(join(REPOSITORY, 'deploy', 'system.toml'), 'utf8');
  const role = text.slice(text.indexOf('[roles.entry]'));
  return /^run = "([^"]+)"$/m.exec(role)[1].split(' ');
}

function settingsOf({ name, ip, port, storeAddress, cloudAddress, bounds }) {
  const boundLines = Object.entries(bounds).map(([key, value]) => `${key} = ${value}`);
  return [
    `node = "${name}"`,
    'role = "entry"',
    'machineClass = "frontend"',
    'serves = ["frontend"]',
    `ip = "${ip}"`,
    'zone = "zone-a"',
    'region = "region"',
    `internalPortRange = [${port + 10}, ${port + 25}]`,
    `seeds = []`,
    'bootstrap = true',
    'discovery = "platform"',
    'entry = "vip"',
    'heartbeatMs = 1500',
    'orders = "rpc"',
    'advice = ""',
    '[listen]',
    `front = "${ip}:${port}"`,
    `ready = "${ip}:${port + 1}"`,
    '[limits]',
    'cpuShare = 0.675',
    'cores = 1',
    'memoryMb = 350',
    'maxFds = 4100',
    '[bounds]',
    ...boundLines,
    '[platform]',
    `addr = "${storeAddress}"`,
    'form = "log"',
    'writesPerS = 800',
    'readsPerS = 2000',
    'parts = 16',
    'recordBytes = 262144',
    'callBytes = 2097152',
    'keep_s = 300',
    'minTtlMs = 1000',
    ...(cloudAddress ? ['[cloudApi]', `addr = "${cloudAddress}"`, 'dutyPerS = 64.0'] : []),
    '',
  ].join('\n');
}

export class Entry {
  constructor(options) {
    Object.assign(this, options);
    this.front = `${this.ip}:${this.port}`;
    this.ready = `${this.ip}:${this.port + 1}`;
    this.settingsPath = join(this.folder, `${this.name}.toml`);
    this.log = createWriteStream(join(this.folder, `${this.name}.log`), { flags: 'a' });
    this.isOver = false;
  }

  async start() {
    await writeFile(this.settingsPath, settingsOf(this));
    this.command = await deployCommand();
    this.spawn();
  }

  spawn() {
    const [program, ...words] = this.command;
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(program, words, {
      cwd: REPOSITORY,
      env: { PATH, HOME, LANG, ACACIADOCK_CONFIG: this.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stdout.pipe(this.log, { end: false });
    this.child.stderr.pipe(this.log, { end: false });
    this.record('entry-started', { entry: this.name, pid: this.child.pid });
    this.child.once('exit', (code, signal) => {
      this.record('entry-ended', { entry: this.name, code, signal });
      if (!this.isOver) setTimeout(() => this.isOver || this.spawn(), RESTART_MS);
    });
  }

  signal(name) {
    this.record('signal', { entry: this.name, signal: name });
    this.child.kill(name);
  }

  /** Ends the process for good. */
  end() {
    this.isOver = true;
    return new Promise((resolve) => {
      if (this.child.exitCode !== null || this.child.signalCode !== null) resolve();
      else this.child.once('exit', resolve);
      this.child.kill('SIGKILL');
    });
  }
}
