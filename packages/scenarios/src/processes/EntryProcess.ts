/**
 * Runs one `acaciadockd` as a child process, so that tests can kill, freeze and stop it as an
 * operator or a failing machine would.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { type SettingsInput } from '@acaciadock/daemon';

const DAEMON_PATH = fileURLToPath(new URL('../../../daemon/bin/acaciadockd.js', import.meta.url));

/** Number of log lines shown in the error if the process ends early. */
const MAX_LINES_SHOWN = 3;

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
    // A test that exits early must not leave a daemon running.
    process.once('exit', () => child.kill('SIGKILL'));
    if (!child.stdout) return;
    createInterface({ input: child.stdout }).on('line', (line) => {
      this.logLines.push(JSON.parse(line) as LogLine);
    });
  }

  /** Starts the daemon with these settings; resolves once it is listening. */
  static async start(settings: SettingsInput): Promise<EntryProcess> {
    const folder = await mkdtemp(join(tmpdir(), 'acaciadock-entry-'));
    const file = join(folder, 'settings.json');
    await writeFile(file, JSON.stringify(settings));
    const child = spawn(process.execPath, [DAEMON_PATH, file], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const exited = new Promise<ProcessExit>((resolve) => {
      child.once('exit', (code, signal) => resolve({ code, signal }));
    });
    const entry = new EntryProcess(settings, folder, child, exited);
    await entry.waitForLogLine('listening');
    return entry;
  }

  /** Resolves once a line with this event is logged; rejects if the process ends first. */
  async waitForLogLine(event: string): Promise<LogLine> {
    let ended = false;
    void this.exited.then(() => {
      ended = true;
    });
    for (;;) {
      const line = this.logLines.find(({ msg }) => msg === event);
      if (line) return line;
      if (ended)
        throw new Error(
          `the entry exited before it logged ${event}; last lines: ${this.lastLines()}`,
        );
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
  }

  /** The last log lines of the process, for error messages. */
  private lastLines(): string {
    return JSON.stringify(this.logLines.slice(-MAX_LINES_SHOWN));
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Kills the process at once, like a machine that loses power. */
  kill(): Promise<ProcessExit> {
    return this.signal('SIGKILL');
  }

  /** Stops the process gracefully. */
  stop(): Promise<ProcessExit> {
    return this.signal('SIGTERM');
  }

  /** Suspends the process until `thaw`. */
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
