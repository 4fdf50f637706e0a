/**
 * A logger with a rate limit that never blocks. Lines above the limit, and lines logged while the
 * reader of the stream lags, are dropped, and the number of dropped lines is logged afterwards.
 * Every event reaches the event sink before a line can be dropped, so metrics stay complete.
 */
import { type Clock, type LogFields, Logger } from '@acaciadock/core';

/** Sustained limit in lines per second; a busy entry makes a few hundred decisions per second. */
const LINES_PER_S = 600;

/** Capacity of the token bucket: lines that may be written in one burst after an idle period. */
const BURST_LINES = 3_000;

/** Lines are dropped while more than this many bytes wait for the reader of the stream. */
const MAX_WAITING_BYTES = 1_000_000;

/** Minimum time between two reports of dropped lines, in milliseconds. */
const DROP_REPORT_INTERVAL_MS = 1_000;

const MS_PER_S = 1_000;

/** Receives every event, whether or not its line is written. */
export interface EventSink {
  note(event: string, fields: LogFields): void;
}

type Level = 'debug' | 'info' | 'warn' | 'error';

export interface BoundedLoggerDeps {
  readonly inner: Logger;
  /**
   * Whether the inner logger writes debug lines; true if omitted. Lines that it discards must not
   * use up the limit: every start and end of a run is a debug line.
   */
  readonly writesDebug?: boolean;
  readonly sink: EventSink;
  readonly clock: Clock;
  /** Returns the number of bytes that the reader of the stream has not consumed yet. */
  readonly waitingBytes: () => number;
}

export class BoundedLogger extends Logger {
  /** Tokens left in the bucket; each line that is written takes one. */
  private lineTokens = BURST_LINES;

  private lastRefillMs: number;

  private dropped = 0;

  private lastDropReportMs = 0;

  constructor(private readonly deps: BoundedLoggerDeps) {
    super();
    this.lastRefillMs = deps.clock.monotonicMs();
  }

  override debug(event: string, fields: LogFields = {}): void {
    if (this.deps.writesDebug === false) this.deps.sink.note(event, fields);
    else this.write('debug', event, fields);
  }

  override info(event: string, fields: LogFields = {}): void {
    this.write('info', event, fields);
  }

  override warn(event: string, fields: LogFields = {}): void {
    this.write('warn', event, fields);
  }

  override error(event: string, fields: LogFields = {}): void {
    this.write('error', event, fields);
  }

  private write(level: Level, event: string, fields: LogFields): void {
    this.deps.sink.note(event, fields);
    const nowMs = this.deps.clock.monotonicMs();
    this.refill(nowMs);
    if (this.lineTokens < 1 || this.deps.waitingBytes() > MAX_WAITING_BYTES) {
      this.dropped += 1;
      return;
    }
    this.lineTokens -= 1;
    this.reportDropped(nowMs);
    this.deps.inner[level](event, fields);
  }

  private refill(nowMs: number): void {
    const gained = ((nowMs - this.lastRefillMs) * LINES_PER_S) / MS_PER_S;
    this.lineTokens = Math.min(BURST_LINES, this.lineTokens + gained);
    this.lastRefillMs = nowMs;
  }

  private reportDropped(nowMs: number): void {
    if (this.dropped === 0 || nowMs - this.lastDropReportMs < DROP_REPORT_INTERVAL_MS) return;
    this.deps.inner.warn('log-lines-dropped', { lines: this.dropped });
    this.deps.sink.note('log-lines-dropped', { lines: this.dropped });
    this.dropped = 0;
    this.lastDropReportMs = nowMs;
  }
}
