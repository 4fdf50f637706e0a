/**
 * What the entries' logs say of one job: every decision that names it, and beside them what the
 * entries believed at the time: who owned the journal, whether the store answered, which of the
 * targets involved fell silent or were ejected.
 */

export interface LogLine {
  readonly time: string;
  readonly entryId: string;
  readonly msg: string;
  readonly [field: string]: unknown;
}

/** Beliefs of the system that explain a job's decisions when they change around them. */
const CONTEXT_EVENTS = new Set([
  'ownership-claimed',
  'ownership-ended',
  'coordinator-started',
  'store-lost',
  'store-back',
  'entry-started',
  'entry-stopping',
  'config-applied',
]);

/** Changes this long before the first and after the last decision still matter, in milliseconds. */
const CONTEXT_MARGIN_MS = 3_000;

/** Said already by the line itself. */
const PLAIN_FIELDS = new Set(['time', 'entryId', 'msg', 'name', 'hostname', 'pid', 'level', 'v']);

function parseLine(text: string): LogLine[] {
  const start = text.indexOf('{');
  if (start < 0) return [];
  try {
    const line = JSON.parse(text.slice(start)) as Partial<LogLine>;
    const { time, msg, entryId } = line;
    if (typeof time !== 'string' || typeof msg !== 'string') return [];
    return [{ ...line, time, msg, entryId: entryId ?? '' }];
  } catch {
    // Other programs may write into the same stream; only our lines are JSON.
    return [];
  }
}

function names(line: LogLine, jobId: string): boolean {
  return line.jobId === jobId || String(line.taskId ?? '').startsWith(`${jobId}.`);
}

export class JobTimeline {
  /** Oldest first. */
  readonly lines: readonly LogLine[];

  constructor(
    private readonly jobId: string,
    logs: readonly string[],
  ) {
    const all = logs.flatMap((log) => log.split('\n')).flatMap(parseLine);
    const own = all.filter((line) => names(line, jobId));
    const context = JobTimeline.contextOf(all, own);
    this.lines = [...own, ...context].sort((a, b) => a.time.localeCompare(b.time));
  }

  get isEmpty(): boolean {
    return !this.lines.some((line) => names(line, this.jobId));
  }

  render(): string {
    return this.lines.map((line) => this.renderLine(line)).join('\n');
  }

  private renderLine(line: LogLine): string {
    const mark = names(line, this.jobId) ? ' ' : '~';
    const fields = Object.entries(line)
      .filter(([name]) => !PLAIN_FIELDS.has(name) && name !== 'jobId')
      .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
      .join(' ');
    return `${line.time} ${mark} ${line.entryId} ${line.msg} ${fields}`;
  }

  private static contextOf(all: readonly LogLine[], own: readonly LogLine[]): LogLine[] {
    const times = own.map((line) => Date.parse(line.time));
    if (times.length === 0) return [];
    const fromMs = Math.min(...times) - CONTEXT_MARGIN_MS;
    const untilMs = Math.max(...times) + CONTEXT_MARGIN_MS;
    const targetIds = new Set<unknown>(
      own.map((line) => line.targetId).filter((id) => id !== undefined),
    );
    return all.filter((line) => {
      const atMs = Date.parse(line.time);
      if (atMs < fromMs || atMs > untilMs || own.includes(line)) return false;
      const isOfTarget = line.msg.startsWith('target-') && targetIds.has(line.targetId);
      return isOfTarget || CONTEXT_EVENTS.has(line.msg);
    });
  }
}
