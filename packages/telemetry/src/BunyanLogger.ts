/**
 * Logs as bunyan JSON lines. Fields whose name says that they carry a secret or a body are left
 * out, whoever passes them.
 */
import { type LogFields, Logger } from '@acaciadock/core';
import Bunyan from 'bunyan';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export interface BunyanLoggerOptions {
  readonly entryId: string;
  readonly level: LogLevel;
  readonly stream: NodeJS.WritableStream;
}

/** Names beyond these are judged each time: a caller may choose some. */
const MOST_NAMES = 1_000;

const WITHHELD_FIELD = /^(authorization|key|teamKey|token|secret|password|body|payload|answer)$/i;
const WITHHELD = '[withheld]';
const MAX_DEPTH = 6;

/** Field names are few, so each is judged once. */
const withheldNames = new Map<string, boolean>();

function isWithheld(name: string): boolean {
  const known = withheldNames.get(name);
  if (known !== undefined) return known;
  const judged = WITHHELD_FIELD.test(name);
  if (withheldNames.size < MOST_NAMES) withheldNames.set(name, judged);
  return judged;
}

/** A copy of `value` without secrets and bodies, at any depth. */
export function withhold(value: unknown, depth = 0): unknown {
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Error) return { name: value.name, message: value.message };
  if (Buffer.isBuffer(value)) return WITHHELD;
  if (depth >= MAX_DEPTH) return '[deep]';
  if (Array.isArray(value)) return value.map((item) => withhold(item, depth + 1));
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => [
      name,
      isWithheld(name) ? WITHHELD : withhold(field, depth + 1),
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
    if (this.bunyan.debug()) this.bunyan.debug(withhold(fields) as object, event);
  }

  override info(event: string, fields: LogFields = {}): void {
    this.bunyan.info(withhold(fields) as object, event);
  }

  override warn(event: string, fields: LogFields = {}): void {
    this.bunyan.warn(withhold(fields) as object, event);
  }

  override error(event: string, fields: LogFields = {}): void {
    this.bunyan.error(withhold(fields) as object, event);
  }
}
