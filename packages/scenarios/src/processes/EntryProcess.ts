/**
 * One `acaciadockd` as a process of its own, so that tests can kill, freeze and stop it as an
 * operator or a failing machine would.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { type SettingsInput } from '@acaciadock/daemon';

const PROGRAM = fileURLToPath(new URL('../../../daemon/bin/acaciadockd.js', import.meta.url));

/** Lines of a process that ended early which a failing test shows. */
const MOST_LINES_TOLD = 3;

export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

export interface LogLine {
  readonly msg: string;
  readonly [field: string]: unknown;
}

export class EntryProcess {
  readonly logLines: LogLine[] = [];

  private constructor(
    readonly settings: SettingsInput,
    private readonly folder: string,
    private readonly child: ChildProcess,
    readonly exited: Promise<ProcessExit>,
  ) {
    // A test that ends early must leave no entry behind.
    process.once('exit', () => child.kill('SIGKILL'));
    if (!child.stdout) return;
    createInterface({ input: child.stdout }).on('line', (line) => {
      this.logLines.push(JSON.parse(line) as LogLine);
    });
  }

  /** Starts the daemon with these settings; resolves when it listens. */
  static async start(settings: SettingsInput): Promise<EntryProcess> {
    const folder = await mkdtemp(join(tmpdir(), 'acaciadock-entry-'));
    const file = join(folder, 'settings.json');
    await writeFile(file, JSON.stringify(settings));
    const child = spawn(process.execPath, [PROGRAM, file], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const exited = new Promise<ProcessExit>((resolve) => {
      child.once('exit', (code, signal) => resolve({ code, signal }));
    });
    const entry = new EntryProcess(settings, folder, child, exited);
    await entry.untilLogged('listening');
    return entry;
  }

  /** Resolves when a line with this event was logged; rejects if the process ends before. */
  async untilLogged(event: string): Promise<LogLine> {
    let ended = false;
    void this.exited.then(() => {
      ended = true;
    });
    for (;;) {
      const line = this.logLines.find(({ msg }) => msg === event);
      if (line) return line;
      if (ended) throw new Error(`the entry ended before it logged ${event}: ${this.lastLines()}`);
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
  }

  /** What the process logged last, for the message of a test that fails. */
  private lastLines(): string {
    return JSON.stringify(this.logLines.slice(-MOST_LINES_TOLD));
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Kills the process at once, as a machine that loses power. */
  kill(): Promise<ProcessExit> {
    return this.signal('SIGKILL');
  }

  /** Graceful stop. */
  stop(): Promise<ProcessExit> {
    return this.signal('SIGTERM');
  }

  /** Freezes the process until `thaw`. */
  freeze(): void {
    this.child.kill('SIGSTOP');
  }

  thaw(): void {
    this.child.kill('SIGCONT');
  }

  private async signal(signal: NodeJS.Signals): Promise<ProcessExit> {
    this.child.kill(signal);
    const exit = await this.exited;
    await rm(this.folder, { recursive: true, force: true });
    return exit;
  }
}
