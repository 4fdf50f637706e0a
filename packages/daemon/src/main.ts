/**
 * `acaciadockd`: runs one entry until it receives a stop signal. Exit codes: 0 after a graceful
 * stop or a successful check, 1 if the start failed, 2 if the settings are not valid.
 */
import { readFile } from 'node:fs/promises';
import { SystemClock } from '@acaciadock/core';
import { BunyanLogger } from '@acaciadock/telemetry';
import { Command } from 'commander';
import { Entry } from './Entry.js';
import { EntryTls } from './EntryTls.js';
import {
  loadSettings,
  OVERRIDABLE_FIELDS,
  overridesFromEnvironment,
  type SettingsFault,
  type SettingsOverrides,
} from './loadSettings.js';

const EXIT_START_FAILED = 1;
const EXIT_SETTINGS_INVALID = 2;
const STOP_SIGNALS = ['SIGINT', 'SIGTERM'] as const;

interface Flags extends SettingsOverrides {
  readonly check?: boolean;
}

function fail(faults: readonly SettingsFault[]): never {
  faults.forEach((fault) => process.stderr.write(`${JSON.stringify(fault)}\n`));
  process.exit(EXIT_SETTINGS_INVALID);
}

function flagOf(field: string): string {
  return `--${field.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)} <value>`;
}

const program = new Command('acaciadockd')
  .description('Runs one entry of acaciadock.')
  .argument('<settings>', 'JSON file with the settings of this entry')
  .option('--check', 'only check the settings')
  .addHelpText(
    'after',
    '\nExample:\n  acaciadockd entry-1.json --zone-id zone-b\n\nExit codes: 0 stopped or checked, 1 start failed, 2 settings not valid',
  );
OVERRIDABLE_FIELDS.forEach((field) => program.option(flagOf(field), `overrides /${field}`));
program.parse();

const { check, ...overrides } = program.opts<Flags>();
const [settingsFile = ''] = program.args;
const text = await readFile(settingsFile, 'utf8').catch((cause: unknown) =>
  fail([{ kind: 'settings-invalid', pointer: '', detail: String(cause) }]),
);
const settings = loadSettings(text, {
  ...overridesFromEnvironment(process.env),
  ...overrides,
}).match(
  (loaded) => loaded,
  (faults) => fail(faults),
);

if (check) {
  process.stdout.write(
    `${JSON.stringify({ event: 'settings-valid', entryId: settings.entryId })}\n`,
  );
} else {
  const logger = new BunyanLogger({
    entryId: settings.entryId,
    level: settings.logLevel,
    stream: process.stdout,
  });
  const clock = new SystemClock();
  const tls = (await EntryTls.open(settings, clock, logger)).match(
    (opened) => opened,
    (failure) => {
      logger.error('start-failed', { ...failure });
      process.exit(EXIT_START_FAILED);
    },
  );
  const entry = new Entry(settings, clock, process.pid, logger, tls);
  const stop = (signal: string): void => {
    logger.info('stopping', { signal });
    void entry.stop().then(() => {
      logger.info('stopped');
      process.exitCode = 0;
      // Sockets that a client keeps open must not keep the process alive.
      setImmediate(() => process.exit());
    });
  };
  STOP_SIGNALS.forEach((signal) => process.once(signal, () => stop(signal)));
  try {
    const addresses = await entry.start();
    logger.info('listening', { ...addresses });
  } catch (cause) {
    logger.error('start-failed', { cause });
    process.exitCode = EXIT_START_FAILED;
    setImmediate(() => process.exit());
  }
}
