/** `acaciadock status`: shows the entries, teams and pools of the deployment on one screen. */
import { type ConfigState } from '@acaciadock/config';
import { type Command } from 'commander';
import { type CommandContext, printResult } from '../CommandContext.js';
import { ConfigClient } from '../ConfigClient.js';
import { table } from '../table.js';

const BYTES_PER_MIB = 1024 * 1024;
const WATCH_PERIOD_MS = 1_000;
const CLEAR_SCREEN = '\u001B[2J\u001B[H';

interface TeamStatus {
  readonly teamId: string;
  readonly holding: number;
  readonly running: number;
  readonly stranded: number;
}

interface EntryStatus {
  readonly entryId: string;
  readonly zoneId: string;
  readonly configVersion: number;
  readonly logReachable: boolean;
  readonly fenced: string;
  readonly waitingTickets: number;
  readonly openGrants: number;
  readonly requestsInFlight: number;
  readonly residentBytes: number;
  readonly teams: readonly TeamStatus[];
}

interface FleetStatus {
  readonly askedEntryId: string;
  readonly entries: readonly EntryStatus[];
  readonly silentEntryIds: readonly string[];
}

function entryTable({ entries, silentEntryIds }: FleetStatus): string {
  const rows = entries.map((entry) => [
    entry.entryId,
    entry.zoneId,
    entry.configVersion,
    entry.logReachable ? 'up' : 'DOWN',
    entry.fenced === '' ? 'serving' : `FENCED ${entry.fenced}`,
    entry.requestsInFlight,
    entry.waitingTickets,
    entry.openGrants,
    `${Math.round(entry.residentBytes / BYTES_PER_MIB)} MiB`,
  ]);
  const silent = silentEntryIds.map((entryId) => [entryId, '', '', '', 'SILENT', '', '', '', '']);
  const head = [
    'entry',
    'zone',
    'version',
    'log',
    'state',
    'requests',
    'queued',
    'running',
    'memory',
  ];
  return table(head, [...rows, ...silent]);
}

function teamTable({ entries }: FleetStatus, { document }: ConfigState): string {
  const rows = Object.entries(document.teams).map(([teamId, team]) => {
    const statuses = entries.flatMap(({ teams }) =>
      teams.filter((status) => status.teamId === teamId),
    );
    const running = statuses.reduce((total, status) => total + status.running, 0);
    // All entries derive this count from the same epochs, so it is not summed up. Entries may lag;
    // the largest count is taken as the most recent one.
    const stranded = Math.max(0, ...statuses.map((status) => status.stranded));
    return [teamId, running, team.limit, team.share, stranded];
  });
  return table(['team', 'running', 'limit', 'share', 'stranded credits'], rows);
}

function poolTable({ document }: ConfigState): string {
  const instances = Object.values(document.instances);
  const rows = Object.entries(document.pools).map(([poolId, pool]) => {
    const members = instances.filter((instance) => instance.poolId === poolId);
    const serving = members.filter(({ intent }) => intent === 'serving').length;
    return [poolId, pool.role, members.length, serving, members.length - serving];
  });
  return table(['pool', 'role', 'instances', 'serving', 'draining'], rows);
}

async function printStatus(context: CommandContext): Promise<void> {
  const state = await new ConfigClient(context).read();
  const answer = await context.client().get('/v1/status');
  const status = answer.body as FleetStatus;
  printResult(context, status, () =>
    [entryTable(status), teamTable(status, state), poolTable(state)].join('\n\n'),
  );
}

export function registerStatus(program: Command, context: CommandContext): void {
  program
    .command('status')
    .description('show entries, teams and pools on one screen')
    .option('--watch', 'repeat every second until interrupted')
    .action(async (options: { watch?: boolean }) => {
      if (!options.watch) {
        await printStatus(context);
        return;
      }
      for (;;) {
        context.print(CLEAR_SCREEN);
        await printStatus(context);
        await new Promise((resolve) => {
          setTimeout(resolve, WATCH_PERIOD_MS);
        });
      }
    });
}
