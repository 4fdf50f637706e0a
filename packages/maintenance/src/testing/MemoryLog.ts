/** In-memory log with injectable outages and lost answers, for tests in virtual time. */
import { type Clock } from '@acaciadock/core';
import {
  type AppendFailure,
  type AppendReceipt,
  type LogPage,
  type LogRecord,
  LogService,
  type ReadFailure,
  type ReadRequest,
} from '@acaciadock/platform';
import { err, ok, type Result } from 'neverthrow';

export class MemoryLog extends LogService {
  down = false;

  /** Number of following appends that take effect but whose answer is lost. */
  loseAnswers = 0;

  private readonly streams = new Map<string, LogRecord[]>();

  private waiting: (() => void)[] = [];

  constructor(private readonly clock: Clock) {
    super();
  }

  records(stream: string): LogRecord[] {
    const known = this.streams.get(stream) ?? [];
    this.streams.set(stream, known);
    return known;
  }

  override async append(
    stream: string,
    payloads: readonly unknown[],
  ): Promise<Result<AppendReceipt, AppendFailure>> {
    if (this.down) return err({ kind: 'log-unreachable' });
    const records = this.records(stream);
    const firstOffset = records.length;
    payloads.forEach((payload, index) => {
      const appendedAtMs = this.clock.unixMs();
      records.push({ offset: firstOffset + index, appendedAtMs, payload });
    });
    this.waiting.splice(0).forEach((wake) => wake());
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      return err({ kind: 'append-unknown' });
    }
    return ok({ firstOffset, count: payloads.length });
  }

  override async read(request: ReadRequest): Promise<Result<LogPage, ReadFailure>> {
    if (this.records(request.stream).length <= request.fromOffset && request.waitMs > 0) {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
        this.clock.after(request.waitMs, resolve);
      });
    }
    if (this.down) return err({ kind: 'log-unreachable' });
    const all = this.records(request.stream);
    const records = all.slice(request.fromOffset, request.fromOffset + request.maxRecords);
    const nextOffset = request.fromOffset + records.length;
    return ok({ records, nextOffset, endOffset: all.length });
  }
}
