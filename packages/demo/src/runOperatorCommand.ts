/** Runs the operators' command line in this process and keeps what it said. */
import { type ExitCodeValue, runCommand } from '@acaciadock/cli';

export interface CommandRun {
  readonly exitCode: ExitCodeValue;
  readonly output: string;
  readonly errors: string;
}

/** Runs `words` against the entry whose operators' interface is at `url`. */
export async function runOperatorCommand(
  url: string,
  words: readonly string[],
  operator = 'demo',
): Promise<CommandRun> {
  const output: string[] = [];
  const errors: string[] = [];
  const exitCode = await runCommand(['--url', url, ...words], {
    environment: { USER: operator },
    print: (text) => output.push(text),
    printError: (text) => errors.push(text),
    nowMs: () => Date.now(),
  });
  return { exitCode, output: output.join('\n'), errors: errors.join('\n') };
}
