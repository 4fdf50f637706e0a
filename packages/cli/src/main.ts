/** Entry point of `acaciadock`, the operators' command line. */
import { runCommand } from './runCommand.js';

process.exitCode = await runCommand(process.argv.slice(2), {
  environment: process.env,
  print: (text) => process.stdout.write(`${text}\n`),
  printError: (text) => process.stderr.write(`${text}\n`),
  nowMs: () => Date.now(),
});
