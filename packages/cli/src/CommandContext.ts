/** Defines what is passed to every command: the HTTP client, the output and the global flags. */
import { type OperatorClient } from './OperatorClient.js';

export interface GlobalFlags {
  readonly url: string;
  readonly token?: string;
  readonly json?: boolean;
  readonly baseVersion?: string;
  readonly patchId?: string;
  readonly author: string;
}

export interface CommandContext {
  /** The global flags; valid only after the command line has been parsed. */
  flags(): GlobalFlags;

  /** A client for the entry that `--url` selects. */
  client(): OperatorClient;

  /** Writes a line of output. */
  print(text: string): void;

  /** Milliseconds since the Unix epoch. */
  nowMs(): number;
}

/** Prints `value` as one JSON line under `--json`, otherwise as the text that `render` returns. */
export function printResult<T>(
  context: CommandContext,
  value: T,
  render: (value: T) => string,
): void {
  context.print(context.flags().json ? JSON.stringify(value) : render(value));
}
