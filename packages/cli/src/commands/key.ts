/** `acaciadock key`: grants, withdraws and lists the API keys of a team. */
import { TeamKey } from '@acaciadock/config';
import { type Command } from 'commander';
import { CliFailure } from '../CliFailure.js';
import { type CommandContext, printResult } from '../CommandContext.js';
import { ConfigClient, pointerToken } from '../ConfigClient.js';
import { ExitCode } from '../ExitCode.js';
import { table } from '../table.js';

export function registerKey(program: Command, context: CommandContext): void {
  const configuration = new ConfigClient(context);
  const key = program.command('key').description('keys of teams');

  key
    .command('grant')
    .description('create a key for a team; it is printed once and only its hash is stored')
    .argument('<team>')
    .option('--note <text>', 'what the key is for', '')
    .addHelpText('after', '\nExample:\n  acaciadock key grant bench-desk --note "van 3"')
    .action(async (teamId: string, options: { note: string }) => {
      const { version } = await configuration.read();
      const created = TeamKey.create(teamId);
      const value = { sha256: created.sha256, grantedAtMs: context.nowMs(), note: options.note };
      const path = `/teams/${pointerToken(teamId)}/keys/${created.keyId}`;
      const result = await configuration.patch([{ op: 'add', path, value }], version);
      const granted = { ...result, teamId, keyId: created.keyId, key: created.key };
      printResult(context, granted, () => created.key);
    });

  key
    .command('withdraw')
    .description('withdraw a key; it stops working within seconds')
    .argument('<team>')
    .argument('<key-id>', 'as shown by `key list`')
    .action(async (teamId: string, keyId: string) => {
      const { version } = await configuration.read();
      const path = `/teams/${pointerToken(teamId)}/keys/${pointerToken(keyId)}`;
      const result = await configuration.patch([{ op: 'remove', path }], version);
      printResult(context, result, () => `withdrawn in version ${result.version}`);
    });

  key
    .command('list')
    .description('list the key ids of a team')
    .argument('<team>')
    .action(async (teamId: string) => {
      const { document } = await configuration.read();
      const team = document.teams[teamId];
      if (!team) {
        throw new CliFailure(ExitCode.refused, { kind: 'unknown-team', teamId }, 'no such team');
      }
      const rows = Object.entries(team.keys).map(([keyId, { grantedAtMs, note }]) => ({
        keyId,
        grantedAtMs,
        note,
      }));
      printResult(context, rows, () =>
        table(
          ['key', 'granted', 'note'],
          rows.map((row) => [row.keyId, new Date(row.grantedAtMs).toISOString(), row.note]),
        ),
      );
    });
}
