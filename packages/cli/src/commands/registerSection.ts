/**
 * Registers the commands that teams, pools and services have in common: list, create, set and
 * remove the items of one section of the configuration.
 */
import { type ConfigDocument, type PatchOperation } from '@acaciadock/config';
import { type Command } from 'commander';
import { CliFailure } from '../CliFailure.js';
import { type CommandContext, printResult } from '../CommandContext.js';
import { ConfigClient, pointerToken } from '../ConfigClient.js';
import { ExitCode } from '../ExitCode.js';
import { type Cell, table } from '../table.js';

type Section = 'teams' | 'pools' | 'services';

export interface SectionOptions<S extends Section> {
  readonly name: string;
  readonly section: S;
  readonly description: string;
  readonly columns: readonly string[];
  readonly row: (item: ConfigDocument[S][string]) => readonly Cell[];
  /** Fields of a new item that the command line may override. */
  readonly defaults: Readonly<Record<string, unknown>>;
  readonly example: string;
}

/** Parses `field=value`; a value that is not valid JSON is taken as a plain string. */
function parseAssignment(text: string): { field: string; value: unknown } {
  const equals = text.indexOf('=');
  if (equals < 1) {
    throw new CliFailure(
      ExitCode.usage,
      { kind: 'assignment-malformed', text },
      `${text}: not field=value`,
    );
  }
  const raw = text.slice(equals + 1);
  try {
    return { field: text.slice(0, equals), value: JSON.parse(raw) as unknown };
  } catch {
    return { field: text.slice(0, equals), value: raw };
  }
}

export function registerSection<S extends Section>(
  program: Command,
  context: CommandContext,
  options: SectionOptions<S>,
): void {
  const { name, section } = options;
  const configuration = new ConfigClient(context);
  const command = program.command(name).description(options.description);
  const pathOf = (id: string): string => `/${section}/${pointerToken(id)}`;

  const submit = async (operations: PatchOperation[], version: number): Promise<void> => {
    const result = await configuration.patch(operations, version);
    printResult(context, result, () => `in force as version ${result.version}`);
  };

  command
    .command('list')
    .description(`all ${section}`)
    .action(async () => {
      const { document } = await configuration.read();
      const items = Object.entries(document[section]) as [string, ConfigDocument[S][string]][];
      printResult(context, document[section], () =>
        table(
          [name, ...options.columns],
          items.map(([id, item]) => [id, ...options.row(item)]),
        ),
      );
    });

  command
    .command('create')
    .description(`add a ${name}`)
    .argument('<id>')
    .argument('[field=value...]')
    .addHelpText('after', `\nExample:\n  acaciadock ${options.example}`)
    .action(async (id: string, assignments: string[]) => {
      const { document, version } = await configuration.read();
      if (Object.hasOwn(document[section], id)) {
        throw new CliFailure(ExitCode.refused, { kind: 'exists', id }, `${id} exists`);
      }
      const assignedFields = assignments
        .map(parseAssignment)
        .map(({ field, value }) => [field, value]);
      const value = { ...options.defaults, ...Object.fromEntries(assignedFields) } as unknown;
      await submit([{ op: 'add', path: pathOf(id), value }], version);
    });

  command
    .command('set')
    .description(`change fields of a ${name}`)
    .argument('<id>')
    .argument('<field=value...>')
    .action(async (id: string, assignments: string[]) => {
      const { version } = await configuration.read();
      const operations = assignments.map(parseAssignment).map(({ field, value }) => ({
        op: 'add' as const,
        path: `${pathOf(id)}/${pointerToken(field)}`,
        value,
      }));
      await submit(operations, version);
    });

  command
    .command('remove')
    .description(`remove a ${name}`)
    .argument('<id>')
    .action(async (id: string) => {
      const { version } = await configuration.read();
      await submit([{ op: 'remove', path: pathOf(id) }], version);
    });
}
