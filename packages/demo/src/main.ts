/**
 * Starts the demo fleet and prints its addresses as a `ready` event. With `--once` it runs the
 * walk-through and exits; otherwise it runs until SIGINT and then stops gracefully.
 */
import { SystemClock } from '@acaciadock/core';
import { Command } from 'commander';
import { DemoFleet } from './DemoFleet.js';
import { DemoStepError } from './DemoStepError.js';
import { DemoWalkthrough } from './DemoWalkthrough.js';

const DEFAULT_SEED = 1;
const KEEP_ALIVE_MS = 60_000;

const program = new Command('demo')
  .option('--once', 'walk through the tasks of callers and operators, then stop')
  .option('--seed <number>', 'seed of all random choices', String(DEFAULT_SEED))
  .parse();
const options = program.opts<{ once?: boolean; seed: string }>();

const clock = new SystemClock();
const fleet = new DemoFleet(clock);
await fleet.start(Number(options.seed));
const [first] = fleet.addresses;
const ready = {
  event: 'ready',
  callerUrl: `http://${first?.callerAddress}`,
  operatorUrl: `http://${first?.operatorAddress}`,
  teamKey: fleet.teamKey,
  service: fleet.serviceId,
};
console.log(JSON.stringify(ready));

/** Runs the walk-through once and returns the exit code. */
async function runWalkthrough(): Promise<number> {
  try {
    await new DemoWalkthrough(fleet, clock, (text) => console.log(text)).run();
    return 0;
  } catch (cause) {
    if (!(cause instanceof DemoStepError)) throw cause;
    console.error(JSON.stringify({ event: 'failed', step: cause.step, detail: cause.detail }));
    return 1;
  }
}

if (options.once) {
  const exitCode = await runWalkthrough();
  await fleet.stop();
  process.exit(exitCode);
}

const keepAlive = setInterval(() => undefined, KEEP_ALIVE_MS);
process.once('SIGINT', () => {
  clearInterval(keepAlive);
  void fleet.stop().then(() => process.exit(0));
});
