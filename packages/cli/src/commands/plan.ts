/**
 * `acaciadock plan`: shows the spare-capacity plan that the configured weights lead to (buffer,
 * moves, racks rebooted at once) beside the baselines, without carrying it out.
 */
import { type Command } from 'commander';
import { type CommandContext, printResult } from '../CommandContext.js';
import { MaintenanceClient } from '../MaintenanceClient.js';
import { durationText } from '../progress.js';
import { type Cell, table } from '../table.js';

interface PlanBody {
  readonly bufferInstances: number;
  readonly cost: number;
  readonly isFeasible: boolean;
  readonly use: { readonly racksAtOnce: number; readonly shared: number };
  readonly schedule: {
    readonly waves: number;
    readonly durationMs: number;
    readonly moves: number;
  };
  readonly measures: Readonly<
    Record<'bufferCost' | 'rollOutTime' | 'moves' | 'shareError', number>
  >;
}

interface ChoiceBody {
  readonly chosen: PlanBody;
  readonly baselines: Readonly<Record<string, PlanBody>>;
  readonly reasons: readonly string[];
}

const DECIMALS = 3;

function row(name: string, plan: PlanBody): readonly Cell[] {
  const { bufferCost, rollOutTime, moves, shareError } = plan.measures;
  return [
    name,
    plan.bufferInstances,
    plan.schedule.moves,
    plan.use.racksAtOnce,
    durationText(plan.schedule.durationMs),
    ...[bufferCost, rollOutTime, moves, shareError, plan.cost].map((figure) =>
      figure.toFixed(DECIMALS),
    ),
    plan.isFeasible ? 'yes' : 'NO',
  ];
}

/** Renders the plan and the baselines; the column `whole` shows whether a plan is feasible. */
function render({ chosen, baselines, reasons }: ChoiceBody): string {
  const head = ['way', 'buffer', 'moves', 'racks', 'time'];
  const measures = ['buffer cost', 'roll-out time', 'moves', 'share error', 'weighted', 'whole'];
  const rows = [
    row('plan', chosen),
    ...Object.entries(baselines).map(([name, plan]) => row(name, plan)),
  ];
  return [table([...head, ...measures], rows), ...reasons.map((reason) => `- ${reason}`)].join(
    '\n',
  );
}

export function registerPlan(program: Command, context: CommandContext): void {
  const maintenance = new MaintenanceClient(context);
  program
    .command('plan')
    .description('show the plan for spare capacity and its cost without carrying it out')
    .action(async () => {
      const body = (await maintenance.read('/v1/maintenance/plan')) as ChoiceBody;
      printResult(context, body, render);
    });
}
