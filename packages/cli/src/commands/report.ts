/** `acaciadock report`: compares service-level objectives and team shares with what was measured. */
import { writeFileSync } from 'node:fs';
import { type BurnReport, type ShareReport } from '@acaciadock/telemetry';
import { type Command } from 'commander';
import { burnPage } from '../burnPage.js';
import { type CommandContext, printResult } from '../CommandContext.js';
import { table } from '../table.js';

/** Formats a ratio as a percentage. */
function percent(part: number): string {
  return `${(part * 100).toFixed(2)} %`;
}

function renderBurn(report: BurnReport): string {
  const head = [
    'service',
    'objective',
    'budget left',
    'burn 5m',
    '1h',
    '6h',
    '3d',
    'requests 3d',
    'bad',
  ];
  const rows = report.services.map((service) => {
    const rates = service.windows.map((burn) => burn.availabilityBurnRate.toFixed(2));
    const longest = service.windows.at(-1);
    return [
      service.serviceId,
      percent(service.availabilityTarget),
      percent(service.availabilityBudgetLeft),
      ...rates,
      longest?.total ?? 0,
      longest?.bad ?? 0,
    ];
  });
  const causes = report.services.flatMap((service) =>
    service.causes.map((cause) => [
      service.serviceId,
      cause.problemType,
      cause.count,
      cause.teamId ?? '',
      cause.targetId ?? '',
      cause.zoneId ?? '',
    ]),
  );
  if (causes.length === 0) return table(head, rows);
  const causeTable = table(['service', 'bad because', 'count', 'team', 'target', 'zone'], causes);
  return `${table(head, rows)}\n\n${causeTable}`;
}

function renderShare(report: ShareReport): string {
  return table(
    ['team', 'share', 'limit', 'portion', 'got', 'answered', 'refused'],
    report.teams.map((team) => [
      team.teamId,
      team.share,
      team.limit,
      percent(team.portion),
      percent(team.got),
      team.answered,
      team.refused,
    ]),
  );
}

export function registerReport(program: Command, context: CommandContext): void {
  const report = program.command('report').description('objectives, budgets and shares');

  report
    .command('burn')
    .description('availability and latency of each service against its error budget')
    .option('--html <file>', 'write a self-contained HTML page with plots')
    .addHelpText('after', '\nExample:\n  acaciadock report burn --html burn.html')
    .action(async (options: { html?: string }) => {
      const answer = await context.client().get('/v1/reports/burn');
      const burn = answer.body as BurnReport;
      if (options.html === undefined) {
        printResult(context, burn, renderBurn);
        return;
      }
      writeFileSync(options.html, burnPage(burn));
      printResult(context, { file: options.html }, ({ file }) => `written to ${file}`);
    });

  report
    .command('share')
    .description('capacity that each team received in the last hour against its share')
    .action(async () => {
      const answer = await context.client().get('/v1/reports/share');
      printResult(context, answer.body as ShareReport, renderShare);
    });
}
