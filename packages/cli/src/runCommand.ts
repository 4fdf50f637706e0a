/** Runs one command line and returns its exit code; failures are written to `printError`. */
import { CommanderError } from 'commander';
import { CliFailure } from './CliFailure.js';
import { createProgram, type ProgramRuntime } from './createProgram.js';
import { ExitCode, type ExitCodeValue } from './ExitCode.js';

export interface CommandRuntime extends ProgramRuntime {
  printError(text: string): void;
}

export async function runCommand(
  args: readonly string[],
  runtime: CommandRuntime,
): Promise<ExitCodeValue> {
  const program = createProgram(runtime);
  try {
    await program.parseAsync([...args], { from: 'user' });
    return ExitCode.done;
  } catch (cause) {
    if (cause instanceof CommanderError)
      return cause.exitCode === 0 ? ExitCode.done : ExitCode.usage;
    if (!(cause instanceof CliFailure)) throw cause;
    const errorText = program.opts<{ json?: boolean }>().json
      ? JSON.stringify(cause.reason)
      : cause.message;
    runtime.printError(errorText);
    return cause.exitCode;
  }
}
