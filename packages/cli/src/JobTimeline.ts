/**
 * Builds the timeline of one job from the entries' logs. It contains every line that refers to the
 * job and, for context, the system events around them: changes of journal ownership, loss and return
 * of the store, and events of the targets that ran the job, such as silence or ejection.
 */

export interface LogLine {
  readonly time: string;
  readonly entryId: string;
  readonly msg: string;
  readonly [field: string]: unknown;
}

/** System events that help to explain the decisions made about a job at about the same time. */
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

/**
 * System events are included from this long before the first line of the job until this long after
 * its last one, in milliseconds.
 */
const CONTEXT_MARGIN_MS = 3_000;

/** Fields left out of a rendered line: already in its prefix, or the same in every line. */
const OMITTED_FIELDS = new Set(['time', 'entryId', 'msg', 'name', 'hostname', 'pid', 'level', 'v']);

function parseLine(text: string): LogLine[] {
  const start = text.indexOf('{');
  if (start < 0) return [];
  try {
    const line = JSON.parse(text.slice(start)) as Partial<LogLine>;
    const { time, msg, entryId } = line;
    if (typeof time !== 'string' || typeof msg !== 'string') return [];
    return [{ ...line, time, msg, entryId: entryId ?? '' }];
  } catch {
    // Other programs may write to the same stream; lines that are not JSON are ignored.
    return [];
  }
}

function concernsJob(line: LogLine, jobId: string): boolean {
  return line.jobId === jobId || String(line.taskId ?? '').startsWith(`${jobId}.`);
}

export class JobTimeline {
  /** Lines of the job and its context, oldest first. */
  readonly lines: readonly LogLine[];

  constructor(
    private readonly jobId: string,
    logs: readonly string[],
  ) {
    const all = logs.flatMap((log) => log.split('\n')).flatMap(parseLine);
    const jobLines = all.filter((line) => concernsJob(line, jobId));
    const context = JobTimeline.contextLines(all, jobLines);
    this.lines = [...jobLines, ...context].sort((a, b) => a.time.localeCompare(b.time));
  }

  /** Whether no log line refers to the job. */
  get isEmpty(): boolean {
    return !this.lines.some((line) => concernsJob(line, this.jobId));
  }

  /** One line of text per log line; context lines are marked with `~`. */
  render(): string {
    return this.lines.map((line) => this.renderLine(line)).join('\n');
  }

  private renderLine(line: LogLine): string {
    const mark = concernsJob(line, this.jobId) ? ' ' : '~';
    const fields = Object.entries(line)
      .filter(([name]) => !OMITTED_FIELDS.has(name) && name !== 'jobId')
      .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
      .join(' ');
    return `${line.time} ${mark} ${line.entryId} ${line.msg} ${fields}`;
  }

  private static contextLines(all: readonly LogLine[], jobLines: readonly LogLine[]): LogLine[] {
    const times = jobLines.map((line) => Date.parse(line.time));
    if (times.length === 0) return [];
    const fromMs = Math.min(...times) - CONTEXT_MARGIN_MS;
    const untilMs = Math.max(...times) + CONTEXT_MARGIN_MS;
    const targetIds = new Set<unknown>(
      jobLines.map((line) => line.targetId).filter((id) => id !== undefined),
    );
    return all.filter((line) => {
      const atMs = Date.parse(line.time);
      if (atMs < fromMs || atMs > untilMs || jobLines.includes(line)) return false;
      const isOfTarget = line.msg.startsWith('target-') && targetIds.has(line.targetId);
      return isOfTarget || CONTEXT_EVENTS.has(line.msg);
    });
  }
}
