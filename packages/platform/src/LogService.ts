/**
 * Interface of the platform's append-only log, implemented by every adapter. A stream is a
 * sequence of records with consecutive offsets from 0; old records expire.
 */
import { type Result } from 'neverthrow';

export type StreamName = string;

export interface LogRecord {
  readonly offset: number;
  /** Time of the append by the log's clock, in milliseconds since the Unix epoch. */
  readonly appendedAtMs: number;
  readonly payload: unknown;
}

export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Offset at which the next read continues. */
  readonly nextOffset: number;
  /** End of the stream when the page was read: the offset of the next record to be appended. */
  readonly endOffset: number;
}

export interface AppendReceipt {
  /** Offset of the first appended record; the others follow consecutively. */
  readonly firstOffset: number;
  readonly count: number;
}

export type AppendFailure =
  /** The log rejected the records; none was appended. */
  | { readonly kind: 'log-refused'; readonly retryAfterMs: number }
  /** No connection could be opened: the records are not in the log. */
  | { readonly kind: 'log-unreachable' }
  /** No usable answer: the records may or may not be in the log. Read the stream to find out. */
  | { readonly kind: 'append-unknown' }
  | { readonly kind: 'log-malformed'; readonly detail: string };

export type ReadFailure =
  | { readonly kind: 'log-unreachable' }
  /** The requested offset has expired; `firstOffset` is the oldest that is still retained. */
  | { readonly kind: 'offset-expired'; readonly firstOffset: number }
  | { readonly kind: 'log-malformed'; readonly detail: string };

export interface ReadRequest {
  readonly stream: StreamName;
  readonly fromOffset: number;
  readonly maxRecords: number;
  /** How long the log may delay its answer until there are records to read (long poll). */
  readonly waitMs: number;
}

export abstract class LogService {
  /** Appends all payloads in order and atomically: all of them or none. */
  abstract append(
    stream: StreamName,
    payloads: readonly unknown[],
  ): Promise<Result<AppendReceipt, AppendFailure>>;

  abstract read(request: ReadRequest): Promise<Result<LogPage, ReadFailure>>;
}
