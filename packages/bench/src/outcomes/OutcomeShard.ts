/** Runs one fleet under load and faults, and compares its answers with its targets' records. */
import { Random } from '@acaciadock/core';
import { EntryFleet } from '@acaciadock/scenarios';
import { CallerLoad } from './CallerLoad.js';
import { type FaultCounts, FaultInjector } from './FaultInjector.js';
import { type OutcomeFigures, OutcomeTally } from './OutcomeTally.js';

const ENTRIES = 3;
const TARGETS = 16;
const SLOTS = 64;
const TEAM_LIMIT = 10_000;
const SETTLE_MS = 1_500;

const common = { taskLeaseMs: 1_000, maxAttempts: 4, retryBudgetRatio: 0.5 };
const SERVICES = {
  advice: { idempotent: true, ...common },
  filing: { idempotent: false, ...common },
};

export interface ShardOptions {
  readonly seed: number;
  readonly maxRequests: number;
  readonly maxMs: number;
}

export interface ShardResult {
  readonly sentRequests: number;
  readonly tookMs: number;
  readonly faults: FaultCounts;
  readonly figures: OutcomeFigures;
}

export async function runShard(options: ShardOptions): Promise<ShardResult> {
  const { seed, maxRequests, maxMs } = options;
  const fleet = new EntryFleet({
    seed,
    entries: ENTRIES,
    targets: TARGETS,
    slots: SLOTS,
    teamLimit: TEAM_LIMIT,
    services: SERVICES,
  });
  await fleet.start();
  const faults = new FaultInjector(fleet, new Random(seed));
  const load = new CallerLoad(fleet, new Random(seed + 1), {
    maxRequests,
    maxMs,
    entries: ENTRIES,
  });
  faults.injectTargetFaults();
  const faultRounds = faults.run();
  const startMs = fleet.clock.monotonicMs();
  await load.run();
  const tookMs = fleet.clock.monotonicMs() - startMs;
  faults.end();
  await faultRounds;
  await fleet.clock.sleep(SETTLE_MS);
  const tally = new OutcomeTally(fleet.targets.flatMap(({ runs }) => runs));
  const figures = tally.countOutcomes(load.jobs);
  await fleet.stop();
  return { sentRequests: load.sentRequests, tookMs, faults: faults.counts, figures };
}
