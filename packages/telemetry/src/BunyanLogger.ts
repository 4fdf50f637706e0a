/**
 * Writes events as bunyan JSON lines. The values of fields whose names denote a secret or a message
 * body are redacted, so that no caller can log them by mistake.
 */
import { type LogFields, Logger } from '@acaciadock/core';
import Bunyan from 'bunyan';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export interface BunyanLoggerOptions {
  readonly entryId: string;
  readonly level: LogLevel;
  readonly stream: NodeJS.WritableStream;
}

/**
 * Bound on the cached field names, since callers may choose some of the names. A name that is not
 * cached is matched against the pattern each time.
 */
const MAX_CACHED_NAMES = 1_000;

const REDACTED_FIELD_NAME =
  /^(authorization|key|teamKey|token|secret|password|body|payload|answer)$/i;
const REDACTED = '[withheld]';
const MAX_DEPTH = 6;

/** Caches whether a field name is redacted, since there are few distinct names. */
const redactionByName = new Map<string, boolean>();

function isRedacted(name: string): boolean {
  const known = redactionByName.get(name);
  if (known !== undefined) return known;
  const redacted = REDACTED_FIELD_NAME.test(name);
  if (redactionByName.size < MAX_CACHED_NAMES) redactionByName.set(name, redacted);
  return redacted;
}

/**
 * Returns a copy of `value` with secrets and bodies redacted at every level. Objects nested deeper
 * than `MAX_DEPTH` are replaced by a placeholder.
 */
export function redact(value: unknown, depth = 0): unknown {
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Error) return { name: value.name, message: value.message };
  if (Buffer.isBuffer(value)) return REDACTED;
  if (depth >= MAX_DEPTH) return '[deep]';
  if (Array.isArray(value)) return value.map((item) => redact(item, depth + 1));
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => [
      name,
      isRedacted(name) ? REDACTED : redact(field, depth + 1),
    ]),
  );
}

export class BunyanLogger extends Logger {
  private readonly bunyan: Bunyan;

  constructor(options: BunyanLoggerOptions) {
    super();
    this.bunyan = Bunyan.createLogger({
      name: 'acaciadockd',
      entryId: options.entryId,
      streams: [{ level: options.level, stream: options.stream }],
    });
  }

  override debug(event: string, fields: LogFields = {}): void {
    if (this.bunyan.debug()) this.bunyan.debug(redact(fields) as object, event);
  }

  override info(event: string, fields: LogFields = {}): void {
    this.bunyan.info(redact(fields) as object, event);
  }

  override warn(event: string, fields: LogFields = {}): void {
    this.bunyan.warn(redact(fields) as object, event);
  }

  override error(event: string, fields: LogFields = {}): void {
    this.bunyan.error(redact(fields) as object, event);
  }
}
