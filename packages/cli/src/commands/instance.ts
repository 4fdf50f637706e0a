/** `acaciadock instance`: lists instances by state; drains, returns, moves and readmits them. */
import { type Command } from 'commander';
import { type CommandContext, printResult } from '../CommandContext.js';
import { ConfigClient, pointerToken } from '../ConfigClient.js';
import { MaintenanceClient } from '../MaintenanceClient.js';
import { table } from '../table.js';

interface InstanceBody {
  readonly instanceId: string;
  readonly poolId: string;
  readonly zoneId: string;
  readonly rackId: string;
  readonly state: string;
  readonly purpose?: string;
}

export function registerInstance(program: Command, context: CommandContext): void {
  const maintenance = new MaintenanceClient(context);
  const configuration = new ConfigClient(context);
  const instance = program.command('instance').description('instances of the fleet');

  // Drain and return only change the intent of the instance in the configuration.
  const setIntent = (name: string, intent: string, description: string): void => {
    instance
      .command(name)
      .description(description)
      .argument('<id>')
      .action(async (id: string) => {
        const { version } = await configuration.read();
        const path = `/instances/${pointerToken(id)}/intent`;
        const operations = [{ op: 'replace' as const, path, value: intent }];
        const result = await configuration.patch(operations, version);
        printResult(context, result, () => `in force as version ${result.version}`);
      });
  };

  instance
    .command('list')
    .description('list all instances and their states')
    .option('--state <state>', 'only those in this state')
    .option('--pool <pool>', 'only those of this pool')
    .action(async (options: { state?: string; pool?: string }) => {
      const rows = ((await maintenance.read('/v1/instances')) as InstanceBody[])
        .filter(({ state }) => options.state === undefined || state === options.state)
        .filter(({ poolId }) => options.pool === undefined || poolId === options.pool);
      printResult(context, rows, (all) =>
        table(
          ['instance', 'pool', 'zone', 'rack', 'state', 'for'],
          all.map((row) => [
            row.instanceId,
            row.poolId,
            row.zoneId,
            row.rackId,
            row.state,
            row.purpose ?? '',
          ]),
        ),
      );
    });

  instance
    .command('move')
    .description('drain an instance and move it to another pool')
    .argument('<id>')
    .argument('<pool>')
    .action(async (instanceId: string, toPoolId: string) => {
      const result = await maintenance.command({ action: 'move', instanceId, toPoolId });
      printResult(context, result, () => 'taken; it moves as soon as the budgets allow');
    });

  instance
    .command('readmit')
    .description('readmit a failed instance once its health checks pass')
    .argument('<id>')
    .action(async (instanceId: string) => {
      const result = await maintenance.command({ action: 'readmit', instanceId });
      printResult(context, result, () => 'taken; it returns once its health checks pass');
    });

  setIntent('drain', 'draining', 'assign no new work to an instance until it is returned');
  setIntent('return', 'serving', 'let a drained instance receive work again');
}
