/** Builds the command-line parser: the global flags and one module for each group of commands. */
import { Command } from 'commander';
import { type CommandContext, type GlobalFlags } from './CommandContext.js';
import { registerConfig } from './commands/config.js';
import { registerExplain } from './commands/explain.js';
import { registerInstance } from './commands/instance.js';
import { registerKey } from './commands/key.js';
import { registerPlan } from './commands/plan.js';
import { registerRollOut } from './commands/rollout.js';
import { registerReport } from './commands/report.js';
import { registerSections } from './commands/sections.js';
import { registerStatus } from './commands/status.js';
import { EXIT_CODE_HELP } from './ExitCode.js';
import { OperatorClient } from './OperatorClient.js';

const DEFAULT_URL = 'http://127.0.0.1:8081';

/** The process's environment variables, output and clock, replaced in tests. */
export interface ProgramRuntime {
  readonly environment: Readonly<Record<string, string | undefined>>;
  print(text: string): void;
  nowMs(): number;
}

export function createProgram(runtime: ProgramRuntime): Command {
  const { environment } = runtime;
  const program = new Command('acaciadock')
    .description('Operates a deployment of acaciadock through any of its entries.')
    .option(
      '--url <url>',
      "URL of an entry's operator API",
      environment.ACACIADOCK_URL ?? DEFAULT_URL,
    )
    .option('--token <token>', 'operator token (or ACACIADOCK_TOKEN)', environment.ACACIADOCK_TOKEN)
    .option('--json', 'print one JSON value instead of text')
    .option('--base-version <number>', 'version that a change is based on; a stale one is refused')
    .option('--patch-id <id>', 'id of a change, for repeating one whose outcome is unknown')
    .option('--author <name>', 'author of a change', environment.USER ?? 'operator')
    .addHelpText('after', EXIT_CODE_HELP)
    .exitOverride();
  const flags = (): GlobalFlags => program.opts<GlobalFlags>();
  const context: CommandContext = {
    flags,
    client: () => new OperatorClient({ url: flags().url, token: flags().token }),
    print: (text) => runtime.print(text),
    nowMs: () => runtime.nowMs(),
  };
  registerConfig(program, context);
  registerSections(program, context);
  registerKey(program, context);
  registerExplain(program, context);
  registerInstance(program, context);
  registerRollOut(program, context);
  registerPlan(program, context);
  registerReport(program, context);
  registerStatus(program, context);
  return program;
}
