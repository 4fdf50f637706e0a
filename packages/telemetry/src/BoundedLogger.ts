/**
 * Logs that stay bounded under load and never block: beyond a rate, or while the reader of the
 * stream lags, lines are dropped and the number of dropped ones is told. Every event is counted
 * before that, so the metrics miss nothing.
 */
import { type Clock, type LogFields, Logger } from '@acaciadock/core';

/** Lines a second that may be written for long; a busy entry decides a few hundred times a second. */
const LINES_PER_S = 600;

/** Lines that may be written at once after a quiet time. */
const BURST_LINES = 3_000;

/** While so many bytes wait for the reader, no line is added. */
const MOST_WAITING_BYTES = 1_000_000;

/** Between two lines about dropped lines, in milliseconds. */
const DROP_REPORT_MS = 1_000;

const MS_PER_S = 1_000;

/** Takes note of every event, written or not. */
export interface EventSink {
  note(event: string, fields: LogFields): void;
}

type Level = 'debug' | 'info' | 'warn' | 'error';

export interface BoundedLoggerDeps {
  readonly inner: Logger;
  readonly sink: EventSink;
  readonly clock: Clock;
  /** Bytes that wait for the reader of the stream. */
  readonly waitingBytes: () => number;
}

export class BoundedLogger extends Logger {
  private lines = BURST_LINES;

  private refilledMs: number;

  private dropped = 0;

  private reportedMs = 0;

  constructor(private readonly deps: BoundedLoggerDeps) {
    super();
    this.refilledMs = deps.clock.monotonicMs();
  }

  override debug(event: string, fields: LogFields = {}): void {
    this.write('debug', event, fields);
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
    if (this.lines < 1 || this.deps.waitingBytes() > MOST_WAITING_BYTES) {
      this.dropped += 1;
      return;
    }
    this.lines -= 1;
    this.reportDropped(nowMs);
    this.deps.inner[level](event, fields);
  }

  private refill(nowMs: number): void {
    const gained = ((nowMs - this.refilledMs) * LINES_PER_S) / MS_PER_S;
    this.lines = Math.min(BURST_LINES, this.lines + gained);
    this.refilledMs = nowMs;
  }

  private reportDropped(nowMs: number): void {
    if (this.dropped === 0 || nowMs - this.reportedMs < DROP_REPORT_MS) return;
    this.deps.inner.warn('log-lines-dropped', { lines: this.dropped });
    this.deps.sink.note('log-lines-dropped', { lines: this.dropped });
    this.dropped = 0;
    this.reportedMs = nowMs;
  }
}
