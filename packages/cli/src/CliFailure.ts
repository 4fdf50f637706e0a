/** The error that ends a command with an exit code and a machine-readable reason. */
import { type ExitCodeValue } from './ExitCode.js';

/** Printed as JSON under `--json`; `kind` identifies the failure. */
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
