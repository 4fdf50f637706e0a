/** What every command needs: the client, where output goes, and the global flags. */
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
  /** The global flags, known once the command line is parsed. */
  flags(): GlobalFlags;

  client(): OperatorClient;

  /** Writes a line of output. */
  print(text: string): void;

  /** Milliseconds since the Unix epoch. */
  nowMs(): number;
}

/** Prints `value` as one JSON line under `--json`, otherwise the lines that `render` makes of it. */
export function printResult<T>(
  context: CommandContext,
  value: T,
  render: (value: T) => string,
): void {
  context.print(context.flags().json ? JSON.stringify(value) : render(value));
}
