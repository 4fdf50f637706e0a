/** Tests the maintenance commands against running entries: plan, roll-outs, moves and instances. */
import { describe, it } from '@acaciadock/core/testing';
import { ExitCode } from '@acaciadock/cli';
import { DemoFleet } from './DemoFleet.js';
import { type CommandRun, runOperatorCommand } from './runOperatorCommand.js';

const SEED = 8;
const POLL_MS = 100;
const TIMEOUT_MS = 60_000;

const run = (url: string, args: readonly string[]): Promise<CommandRun> =>
  runOperatorCommand(url, args, 'tester');

/** Repeats a command until its output meets the condition, or until the timeout. */
async function runUntil(
  url: string,
  args: readonly string[],
  isDone: (output: string) => boolean,
): Promise<CommandRun> {
  const untilMs = Date.now() + TIMEOUT_MS;
  let last = await run(url, args);
  while (!isDone(last.output) && Date.now() < untilMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
    last = await run(url, args);
  }
  return last;
}

async function withFleet(body: (url: string) => Promise<void>): Promise<void> {
  const fleet = new DemoFleet();
  await fleet.start(SEED);
  try {
    await body(`http://${fleet.addresses[0]?.operatorAddress}`);
  } finally {
    await fleet.stop();
  }
}

describe('acaciadock plan, rollout and instance', () => {
  it('shows a plan, drains and returns an instance, and refuses commands that do not apply', async (t) => {
    await withFleet(async (url) => {
      const plan = await run(url, ['plan']);
      t.equal(plan.exitCode, ExitCode.done, plan.errors);
      t.match(plan.output, /fixed-20-percent/);
      const listed = await run(url, ['--json', 'instance', 'list', '--state', 'serving']);
      t.equal((JSON.parse(listed.output) as unknown[]).length, 8, 'nothing was carried out');
      t.equal((await run(url, ['rollout', 'abort'])).exitCode, ExitCode.refused);
      t.equal((await run(url, ['instance', 'readmit', 't0'])).exitCode, ExitCode.refused);
      await run(url, ['instance', 'drain', 't0']);
      t.match((await run(url, ['instance', 'list', '--state', 'draining'])).output, /t0/);
      await run(url, ['instance', 'return', 't0']);
      t.match((await run(url, ['instance', 'list', '--state', 'serving'])).output, /t0/);
    });
  });

  it('pauses and resumes a roll-out over the spares, refuses a second one, and moves a spare', async (t) => {
    await withFleet(async (url) => {
      const started = await run(url, ['rollout', 'start', '--id', 'r1', '--pool', 'spare']);
      t.equal(started.exitCode, ExitCode.done, started.errors);
      const second = await run(url, ['rollout', 'start', '--id', 'r2']);
      t.equal(second.exitCode, ExitCode.refused);
      t.equal((await run(url, ['rollout', 'pause'])).exitCode, ExitCode.done);
      t.match((await run(url, ['rollout', 'status'])).output, /r1 paused \[\.+\] 0\/2/);
      t.equal((await run(url, ['rollout', 'resume'])).exitCode, ExitCode.done);
      const done = await runUntil(url, ['rollout', 'status'], (text) => /r1 done/.test(text));
      t.match(done.output, /r1 done \[#+\] 2\/2/);
      t.equal((await run(url, ['instance', 'move', 't8', 'main'])).exitCode, ExitCode.done);
      const args = ['--json', 'instance', 'list', '--pool', 'main', '--state', 'serving'];
      const listed = await runUntil(url, args, (text) => /"t8"/.test(text));
      t.equal((JSON.parse(listed.output) as unknown[]).length, 9);
    });
  });
});
