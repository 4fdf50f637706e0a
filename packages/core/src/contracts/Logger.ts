/**
 * Structured logs: one JSON line per event, with a stable event name and fields. Never pass the
 * keys or bodies of requests.
 */

/** The fields of one log line; nested objects are written as JSON. */
export type LogFields = Readonly<Record<string, unknown>>;

export abstract class Logger {
  abstract debug(event: string, fields?: LogFields): void;

  abstract info(event: string, fields?: LogFields): void;

  abstract warn(event: string, fields?: LogFields): void;

  abstract error(event: string, fields?: LogFields): void;
}
