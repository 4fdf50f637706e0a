/**
 * In-memory storage behind the log stand-ins: streams with consecutive offsets and time-based
 * retention.
 */
import { type Clock, EventEmitter, type IDisposable } from '@acaciadock/core';
import { type LogPage, type LogRecord } from '@acaciadock/platform';

interface Stream {
  firstOffset: number;
  records: LogRecord[];
}

/** Result of a read from an offset whose record has expired. */
export interface ExpiredOffset {
  readonly kind: 'offset-expired';
  /** First offset of the stream that has not expired. */
  readonly firstOffset: number;
}

function endOf(stream: Stream): number {
  return stream.firstOffset + stream.records.length;
}

export class LogStore {
  private readonly streams = new Map<string, Stream>();

  private readonly appendEmitter = new EventEmitter<string>();

  /** Fires with the stream's name after an append. */
  readonly onAppend = this.appendEmitter.event;

  private appends = 0;

  constructor(
    private readonly clock: Clock,
    /** How long a record is kept, in milliseconds. */
    public retentionMs = Infinity,
  ) {}

  /** Number of append calls that have taken effect. */
  get appendCount(): number {
    return this.appends;
  }

  /** Appends all payloads and returns the first offset. */
  append(name: string, payloads: readonly unknown[]): number {
    const stream = this.stream(name);
    const firstOffset = endOf(stream);
    const appendedAtMs = this.clock.unixMs();
    payloads.forEach((payload, index) => {
      stream.records.push({ offset: firstOffset + index, appendedAtMs, payload });
    });
    this.appends += 1;
    this.appendEmitter.fire(name);
    return firstOffset;
  }

  /** Expires old records, then returns at most `maxRecords` records from `fromOffset` on. */
  read(name: string, fromOffset: number, maxRecords: number): LogPage | ExpiredOffset {
    const stream = this.stream(name);
    this.expireOlderThan(this.retentionMs);
    const { firstOffset } = stream;
    if (fromOffset < firstOffset) return { kind: 'offset-expired', firstOffset };
    const skip = fromOffset - firstOffset;
    const records = stream.records.slice(skip, skip + maxRecords);
    return { records, nextOffset: fromOffset + records.length, endOffset: endOf(stream) };
  }

  /** Expires all records of a stream before `offset`. */
  expireBefore(name: string, offset: number): void {
    const stream = this.stream(name);
    const newFirstOffset = Math.min(offset, endOf(stream));
    if (newFirstOffset <= stream.firstOffset) return;
    stream.records = stream.records.slice(newFirstOffset - stream.firstOffset);
    stream.firstOffset = newFirstOffset;
  }

  /** Expires all records older than `ageMs`. */
  expireOlderThan(ageMs: number): void {
    const untilMs = this.clock.unixMs() - ageMs;
    this.streams.forEach((stream, name) => {
      const kept = stream.records.find((record) => record.appendedAtMs >= untilMs);
      this.expireBefore(name, kept?.offset ?? endOf(stream));
    });
  }

  /** Drops the records from `endOffset` on, as happens when a log is restored from an old copy. */
  truncate(name: string, endOffset: number): void {
    const stream = this.stream(name);
    stream.records = stream.records.filter((record) => record.offset < endOffset);
  }

  /** All records of a stream that have not expired. */
  records(name: string): readonly LogRecord[] {
    return this.stream(name).records;
  }

  /** Offset that the next append to a stream will have. */
  endOffset(name: string): number {
    return endOf(this.stream(name));
  }

  /** Resolves when a stream has a record at `offset`, or after `waitMs`. */
  waitFor(name: string, offset: number, waitMs: number): Promise<void> {
    if (waitMs <= 0 || this.endOffset(name) > offset) return Promise.resolve();
    return new Promise((resolve) => {
      const subscriptions: IDisposable[] = [];
      const end = (): void => {
        subscriptions.forEach((wait) => wait.dispose());
        resolve();
      };
      subscriptions.push(this.clock.after(waitMs, end));
      subscriptions.push(
        this.onAppend((appended) => {
          if (appended === name && this.endOffset(name) > offset) end();
        }),
      );
    });
  }

  private stream(name: string): Stream {
    const known = this.streams.get(name);
    if (known) return known;
    const created: Stream = { firstOffset: 0, records: [] };
    this.streams.set(name, created);
    return created;
  }
}
