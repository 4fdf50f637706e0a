/** `acaciadock rollout`: starts, controls and monitors a roll-out that reboots the fleet in waves. */
import { setTimeout } from 'node:timers/promises';
import { type Command } from 'commander';
import { CliFailure } from '../CliFailure.js';
import { type CommandContext, printResult } from '../CommandContext.js';
import { ExitCode } from '../ExitCode.js';
import { MaintenanceClient } from '../MaintenanceClient.js';
import { progressText } from '../progress.js';

const WATCH_PERIOD_MS = 1_000;
const ENDED = new Set(['done', 'aborted']);

export function registerRollOut(program: Command, context: CommandContext): void {
  const maintenance = new MaintenanceClient(context);
  const rollOut = program.command('rollout').description('reboot instances in waves');

  const registerAction = (action: 'pause' | 'resume' | 'abort', description: string): void => {
    rollOut
      .command(action)
      .description(description)
      .action(async () => {
        const { rollOut: current } = await maintenance.status();
        if (!current) {
          throw new CliFailure(ExitCode.refused, { kind: 'no-roll-out' }, 'there is no roll-out');
        }
        const command = { action: `${action}-roll-out`, rollOutId: current.rollOutId };
        printResult(context, await maintenance.command(command), () => `${action}: taken`);
      });
  };

  rollOut
    .command('start')
    .description('reboot every instance once, within the availability budgets')
    .option('--id <id>', 'name of the roll-out')
    .option('--pool <pool...>', 'only these pools')
    .option('--racks <number>', 'racks to reboot at once; taken from the plan by default')
    .addHelpText('after', '\nExample:\n  acaciadock rollout start --id kernel-6.12 --racks 2')
    .action(async (options: { id?: string; pool?: string[]; racks?: string }) => {
      const rollOutId = options.id ?? `r${context.nowMs()}`;
      const result = await maintenance.command({
        action: 'start-roll-out',
        rollOutId,
        ...(options.pool ? { poolIds: options.pool } : {}),
        ...(options.racks === undefined ? {} : { racksAtOnce: Number(options.racks) }),
      });
      printResult(context, { ...result, rollOutId }, () => `${rollOutId} started`);
    });

  rollOut
    .command('status')
    .description('show the progress, the time left and what the roll-out waits for')
    .option('--watch', 'repeat every second until the roll-out has ended')
    .action(async (options: { watch?: boolean }) => {
      let status = await maintenance.status();
      printResult(context, status, progressText);
      while (options.watch && status.rollOut && !ENDED.has(status.rollOut.status)) {
        await setTimeout(WATCH_PERIOD_MS);
        status = await maintenance.status();
        printResult(context, status, progressText);
      }
    });

  registerAction('pause', 'start no further steps; steps in progress are finished');
  registerAction(
    'resume',
    'continue a paused roll-out, or one that stopped because an instance failed',
  );
  registerAction(
    'abort',
    'end the roll-out; reboots in progress are finished, other steps are abandoned',
  );
}
