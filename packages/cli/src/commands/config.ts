/** `acaciadock config`: reads, compares and changes the configuration as a whole. */
import { readFileSync } from 'node:fs';
import { type PatchOperation } from '@acaciadock/config';
import { type Command } from 'commander';
import { createPatch } from 'rfc6902';
import { CliFailure } from '../CliFailure.js';
import { type CommandContext, printResult } from '../CommandContext.js';
import { ConfigClient } from '../ConfigClient.js';
import { ExitCode } from '../ExitCode.js';
import { table } from '../table.js';

const STDIN_FILE_DESCRIPTOR = 0;

function readJson(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file === '-' ? STDIN_FILE_DESCRIPTOR : file, 'utf8'));
  } catch (cause) {
    throw new CliFailure(ExitCode.usage, { kind: 'file-not-read', file }, String(cause));
  }
}

function renderOperations(operations: readonly PatchOperation[]): string {
  if (operations.length === 0) return 'no difference';
  return operations
    .map((operation) => {
      const value = 'value' in operation ? ` ${JSON.stringify(operation.value)}` : '';
      return `${operation.op} ${operation.path}${value}`;
    })
    .join('\n');
}

interface HistoryRow {
  readonly version: number;
  readonly patchId: string;
  readonly author: string;
  readonly submittedAtMs: number;
  readonly operations: readonly PatchOperation[];
}

interface StatusBody {
  readonly entryId: string;
  readonly version: number;
  readonly ready: boolean;
  readonly logReachable: boolean;
  readonly peers: readonly { entryId: string; version: number; heardAgoMs: number }[];
}

export function registerConfig(program: Command, context: CommandContext): void {
  const configuration = new ConfigClient(context);
  const config = program
    .command('config')
    .description('read and change the configuration as a whole');

  config
    .command('get')
    .description('print the configuration in force and its version')
    .option('--document', 'print the document alone')
    .action(async (options: { document?: boolean }) => {
      const state = await configuration.read();
      const value = options.document ? state.document : state;
      printResult(context, value, () => JSON.stringify(value, undefined, 2));
    });

  config
    .command('diff')
    .description('show the operations that would turn the configuration into that of a file')
    .argument('<file>', 'a complete document in JSON, or - for standard input')
    .action(async (file: string) => {
      const { document, version } = await configuration.read();
      const operations = createPatch(document, readJson(file));
      printResult(context, { baseVersion: version, operations }, (result) =>
        renderOperations(result.operations as PatchOperation[]),
      );
    });

  config
    .command('patch')
    .description('submit a patch against the version it is based on')
    .argument('<file>', 'JSON Patch operations (RFC 6902), or - for standard input')
    .option('--document', 'the file is a complete document; the difference is submitted')
    .addHelpText('after', '\nExample:\n  acaciadock config patch change.json --base-version 41')
    .action(async (file: string, options: { document?: boolean }) => {
      const { document, version } = await configuration.read();
      const content = readJson(file);
      const operations = options.document
        ? createPatch(document, content)
        : (content as PatchOperation[]);
      const result = await configuration.patch(operations, version);
      printResult(context, result, () => `in force as version ${result.version}`);
    });

  config
    .command('history')
    .description('show the latest changes with their authors')
    .option('--since <version>', 'changes after this version', '0')
    .action(async (options: { since: string }) => {
      const answer = await context.client().get(`/v1/config/history?since=${options.since}`);
      const { changes = [] } = answer.body as { changes?: HistoryRow[] };
      printResult(context, changes, (rows) =>
        table(
          ['version', 'author', 'at', 'patch', 'changes'],
          rows.map((row) => [
            row.version,
            row.author,
            new Date(row.submittedAtMs).toISOString(),
            row.patchId,
            row.operations.map(({ op, path }) => `${op} ${path}`).join(', '),
          ]),
        ),
      );
    });

  config
    .command('status')
    .description('show the version in force at each entry')
    .action(async () => {
      const answer = await context.client().get('/v1/config/status');
      printResult(context, answer.body as StatusBody, (status) =>
        table(
          ['entry', 'version', 'heard', 'log'],
          [
            [status.entryId, status.version, 'itself', status.logReachable ? 'up' : 'DOWN'],
            ...status.peers.map((peer) => [
              peer.entryId,
              peer.version,
              `${peer.heardAgoMs} ms ago`,
              '',
            ]),
          ],
        ),
      );
    });
}
