/** Starts the demo fleet, says where it listens, and stops gracefully on SIGINT. */
import { SystemClock } from '@acaciadock/core';
import { Command } from 'commander';
import { DemoFleet } from './DemoFleet.js';
import { DemoStepFailed } from './DemoStepFailed.js';
import { DemoWalk } from './DemoWalk.js';

const DEFAULT_SEED = 1;
const KEEP_ALIVE_MS = 60_000;

const program = new Command('demo')
  .option('--once', 'walk through what callers and operators do, then stop')
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

/** Walks once; returns the exit code. */
async function walk(): Promise<number> {
  try {
    await new DemoWalk(fleet, clock, (text) => console.log(text)).run();
    return 0;
  } catch (cause) {
    if (!(cause instanceof DemoStepFailed)) throw cause;
    console.error(JSON.stringify({ event: 'failed', step: cause.step, detail: cause.detail }));
    return 1;
  }
}

if (options.once) {
  const exitCode = await walk();
  await fleet.stop();
  process.exit(exitCode);
}

const keepAlive = setInterval(() => undefined, KEEP_ALIVE_MS);
process.once('SIGINT', () => {
  clearInterval(keepAlive);
  void fleet.stop().then(() => process.exit(0));
});
