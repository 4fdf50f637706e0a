/** Runs one command line and returns its exit code; failures are told on `printError`. */
import { CommanderError } from 'commander';
import { CliFailure } from './CliFailure.js';
import { createProgram, type ProgramSurroundings } from './createProgram.js';
import { ExitCode, type ExitCodeValue } from './ExitCode.js';

export interface CommandSurroundings extends ProgramSurroundings {
  printError(text: string): void;
}

export async function runCommand(
  words: readonly string[],
  surroundings: CommandSurroundings,
): Promise<ExitCodeValue> {
  const program = createProgram(surroundings);
  try {
    await program.parseAsync([...words], { from: 'user' });
    return ExitCode.done;
  } catch (cause) {
    if (cause instanceof CommanderError)
      return cause.exitCode === 0 ? ExitCode.done : ExitCode.usage;
    if (!(cause instanceof CliFailure)) throw cause;
    const told = program.opts<{ json?: boolean }>().json
      ? JSON.stringify(cause.reason)
      : cause.message;
    surroundings.printError(told);
    return cause.exitCode;
  }
}
