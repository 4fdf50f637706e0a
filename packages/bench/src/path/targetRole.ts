/** Child process that runs stand-in targets, which answer immediately. */
import { SystemClock } from '@acaciadock/core';
import { TargetStandIn } from '@acaciadock/testkit';
import { serveRole } from './roleProcess.js';

const SLOTS = 1_000;
const CLEAR_RUNS_PERIOD_MS = 500;

const { targetIds } = JSON.parse(process.argv[2] ?? '{}') as { targetIds: string[] };
const clock = new SystemClock();
const targets = targetIds.map((targetId) => new TargetStandIn(targetId, clock, SLOTS));
targets.forEach((target) => Object.assign(target, { runMs: () => 0 }));
const addresses = await Promise.all(targets.map((target) => target.listen()));
// A stand-in records every run; nothing reads the records here, so they are dropped regularly.
clock.every(CLEAR_RUNS_PERIOD_MS, () => {
  targets.forEach(({ runs }) => runs.splice(0));
});
serveRole(addresses);
