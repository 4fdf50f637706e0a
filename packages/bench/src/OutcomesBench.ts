/**
 * Whether every outcome is told truly: real entries, loopback sockets, callers that repeat, and
 * faults at targets, log, entries and fleet together; checked against the targets' own records.
 */
import { Random } from '@acaciadock/core';
import { EntryFleet } from '@acaciadock/scenarios';
import { Bench, type BenchOptions, type BenchResult, checkBound } from './Bench.js';
import { CallerLoad } from './outcomes/CallerLoad.js';
import { FaultSchedule } from './outcomes/FaultSchedule.js';
import { type OutcomeFigures, OutcomeTally } from './outcomes/OutcomeTally.js';

const ENTRIES = 3;
const TARGETS = 16;
const SLOTS = 64;
const WANTED_REQUESTS = 100_000;
const DEFAULT_MOST_MS = 38_000;
const LONG_MOST_MS = 600_000;
const SETTLE_MS = 1_500;

const common = { taskLeaseMs: 1_000, maxAttempts: 4, retryBudgetRatio: 0.5 };
const SERVICES = {
  advice: { idempotent: true, ...common },
  filing: { idempotent: false, ...common },
};

export class OutcomesBench extends Bench {
  override readonly name = 'outcomes';

  override readonly summary = 'requests under faults: lost, doubled, crossed, falsely not run';

  override async run({ seed, long }: BenchOptions): Promise<BenchResult> {
    const fleet = new EntryFleet({
      seed,
      entries: ENTRIES,
      targets: TARGETS,
      slots: SLOTS,
      teamLimit: 10_000,
      services: SERVICES,
    });
    await fleet.start();
    const faults = new FaultSchedule(fleet, new Random(seed));
    const load = new CallerLoad(fleet, new Random(seed + 1), {
      mostRequests: WANTED_REQUESTS,
      mostMs: long ? LONG_MOST_MS : DEFAULT_MOST_MS,
      entries: ENTRIES,
    });
    faults.spoilTargets();
    const faulting = faults.run();
    const startMs = fleet.clock.monotonicMs();
    await load.run();
    const tookMs = fleet.clock.monotonicMs() - startMs;
    faults.end();
    await faulting;
    await fleet.clock.sleep(SETTLE_MS);
    const tally = new OutcomeTally(fleet.targets.flatMap(({ runs }) => runs));
    const figures = tally.judge(load.jobs);
    this.note(`${load.sentRequests} requests in ${Math.round(tookMs)} ms`);
    this.note(`faults ${JSON.stringify(faults.counts)}`);
    this.note(`figures ${JSON.stringify(figures)}`);
    await fleet.stop();
    return { bounds: OutcomesBench.bounds(load.sentRequests, figures) };
  }

  private static bounds(requests: number, figures: OutcomeFigures): BenchResult['bounds'] {
    const none = (name: string, value: number) => checkBound(name, value, 'requests', 'exactly', 0);
    return [
      checkBound('requests sent', requests, 'requests', 'at-least', WANTED_REQUESTS),
      none('lost', figures.lost),
      none('doubled', figures.doubled),
      none('crossed', figures.crossed),
      none('false not run', figures.falseNotRun),
      none('non-idempotent runs > 1', figures.ranTwice),
    ];
  }
}
