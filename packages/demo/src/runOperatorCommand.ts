/** Runs the operators' command line in this process and captures its output. */
import { type ExitCodeValue, runCommand } from '@acaciadock/cli';

export interface CommandRun {
  readonly exitCode: ExitCodeValue;
  readonly output: string;
  readonly errors: string;
}

/** Runs the command line `args` against the entry whose operator API is at `url`. */
export async function runOperatorCommand(
  url: string,
  args: readonly string[],
  operator = 'demo',
): Promise<CommandRun> {
  const output: string[] = [];
  const errors: string[] = [];
  const exitCode = await runCommand(['--url', url, ...args], {
    environment: { USER: operator },
    print: (text) => output.push(text),
    printError: (text) => errors.push(text),
    nowMs: () => Date.now(),
  });
  return { exitCode, output: output.join('\n'), errors: errors.join('\n') };
}
