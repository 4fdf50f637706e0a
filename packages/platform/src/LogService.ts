/**
 * The platform's append-only log, as the contract that every adapter fulfils. A stream is a
 * sequence of records with consecutive offsets from 0; old records expire.
 */
import { type Result } from 'neverthrow';

export type StreamName = string;

export interface LogRecord {
  readonly offset: number;
  /** The log's clock at the append, milliseconds since the Unix epoch. */
  readonly appendedAtMs: number;
  readonly payload: unknown;
}

export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Offset to read from next. */
  readonly nextOffset: number;
  /** Offset that the next append would have had when the page was made: the end of the stream. */
  readonly endOffset: number;
}

export interface AppendReceipt {
  /** Offset of the first appended record; the others follow it without a gap. */
  readonly firstOffset: number;
  readonly count: number;
}

export type AppendFailure =
  /** The log answered that it did not take the records. */
  | { readonly kind: 'log-refused'; readonly retryAfterMs: number }
  /** No connection was made: the records are not in the log. */
  | { readonly kind: 'log-unreachable' }
  /** No answer came: the records may or may not be in the log. Settle it by reading. */
  | { readonly kind: 'append-unknown' }
  | { readonly kind: 'log-malformed'; readonly detail: string };

export type ReadFailure =
  | { readonly kind: 'log-unreachable' }
  /** Records from the asked offset on have expired; the oldest that is kept is named. */
  | { readonly kind: 'offset-expired'; readonly firstOffset: number }
  | { readonly kind: 'log-malformed'; readonly detail: string };

export interface ReadRequest {
  readonly stream: StreamName;
  readonly fromOffset: number;
  readonly mostRecords: number;
  /** How long the log may hold the answer back while there is nothing to read. */
  readonly waitMs: number;
}

export abstract class LogService {
  /** Appends all payloads in order as one unit: all of them or none. */
  abstract append(
    stream: StreamName,
    payloads: readonly unknown[],
  ): Promise<Result<AppendReceipt, AppendFailure>>;

  abstract read(request: ReadRequest): Promise<Result<LogPage, ReadFailure>>;
}
