/** Runs a fleet with one team that always demands more than its limit, to test that limit. */
import { Random } from '@acaciadock/core';
import { type TargetStandIn } from '@acaciadock/testkit';
import { EntryFleet } from './EntryFleet.js';

const SEED = 4_001;
const ENTRIES = 3;
export const TEAM_LIMIT = 6;
const RUN_MS = 150;
const LEASE_MS = 1_000;
const CALLERS_PER_ENTRY = 6;

const service = { idempotent: true, taskLeaseMs: LEASE_MS, defaultDeadlineMs: 2_000 };

/** Adds a second pool, so that two homes dispatch the team's work. */
const SECOND_POOL = [
  { op: 'add', path: '/pools/second', value: { role: 'service' } },
  { op: 'replace', path: '/instances/t1/poolId', value: 'second' },
  { op: 'replace', path: '/services/study/poolId', value: 'second' },
];

/** Callers at every entry that send requests to both services in a loop and ignore failures. */
class TeamLoad {
  private isActive = true;

  private readonly loops: Promise<void>[] = [];

  constructor(private readonly fleet: EntryFleet) {
    const random = new Random(SEED);
    for (let index = 0; index < ENTRIES * CALLERS_PER_ENTRY; index += 1) {
      const serviceId = index % 2 === 0 ? 'advice' : 'study';
      this.loops.push(this.loop(index % ENTRIES, serviceId, random));
    }
  }

  async stop(): Promise<void> {
    this.isActive = false;
    await Promise.all(this.loops);
  }

  private async loop(entry: number, serviceId: string, random: Random): Promise<void> {
    while (this.isActive) {
      await this.fleet.send(entry, { serviceId, body: 'x' }).catch(() => undefined);
      await this.fleet.clock.sleep(random.integer(1, 10));
    }
  }
}

/** Maximum number of runs in progress at once from `sinceMs` on, from the targets' records. */
export function maxConcurrentRuns(
  fleet: { readonly targets: readonly TargetStandIn[] },
  sinceMs = 0,
): number {
  const runs = fleet.targets.flatMap((target) => target.runs);
  const steps = runs.flatMap(({ startedAtMs, endedAtMs }) => [
    { atMs: startedAtMs, change: 1 },
    { atMs: endedAtMs ?? Number.POSITIVE_INFINITY, change: -1 },
  ]);
  steps.sort((a, b) => a.atMs - b.atMs || a.change - b.change);
  let running = 0;
  let max = 0;
  steps.forEach(({ atMs, change }) => {
    running += change;
    if (atMs >= sinceMs) max = Math.max(max, running);
  });
  return max;
}

/** Runs a fleet whose team queues at all entries, calls `faults` under that load, and stops. */
export async function runUnderLoad(
  faults: (fleet: EntryFleet) => Promise<void>,
): Promise<{ readonly fleet: EntryFleet; readonly runs: number }> {
  const services = { advice: service, study: service };
  const fleet = new EntryFleet({
    seed: SEED,
    services,
    entries: ENTRIES,
    targets: 2,
    teamLimit: TEAM_LIMIT,
  });
  await fleet.start();
  await fleet.patch(SECOND_POOL);
  fleet.targets.forEach((target) => Object.assign(target, { runMs: () => RUN_MS }));
  const load = new TeamLoad(fleet);
  await fleet.clock.sleep(1_000);
  await faults(fleet);
  await load.stop();
  await fleet.stop();
  const runs = fleet.targets.reduce((sum, target) => sum + target.runs.length, 0);
  return { fleet, runs };
}
