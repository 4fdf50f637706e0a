/** Thrown to end a command with an exit code and a typed reason. */
import { type ExitCodeValue } from './ExitCode.js';

export interface CliReason {
  readonly kind: string;
  readonly [detail: string]: unknown;
}

export class CliFailure extends Error {
  constructor(
    readonly exitCode: ExitCodeValue,
    readonly reason: CliReason,
    message: string,
  ) {
    super(message);
  }
}
