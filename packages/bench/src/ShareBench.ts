/**
 * Measures how close each team stays to its share, in virtual time on eight entries. Six teams, a
 * few of them large, keep all queues full, and their true run times differ from the declared one
 * by up to a factor of ten. A second run kills two of the eight entries, among them the home of a
 * pool.
 */
import { type TeamId } from '@acaciadock/core';
import { Bench, type BenchOptions, type BenchResult, checkBound } from './Bench.js';
import { FleetModel, type FleetOptions } from './scheduling/FleetModel.js';

const WARM_UP_MS = 30_000;
const WINDOW_MS = 60_000;
const KILL_AFTER_MS = 20_000;
const KILL_NOTICE_DELAY_MS = 3_000;
const MAX_SHARE_ERROR = 0.03;
const SLOTS = 8;
const ENTRIES = 8;
const SHARES: Readonly<Record<TeamId, number>> = { a: 8, b: 5, c: 2, d: 1, e: 1, f: 1 };
const DECLARED_RUN_MS = 1_000;
/** True run times: a tenth of the declared one for some teams, and twice it for another. */
const RUN_MS: Readonly<Record<TeamId, number>> = {
  a: 100,
  b: 300,
  c: 1_000,
  d: 100,
  e: 500,
  f: 2_000,
};
const TEAMS = Object.keys(SHARES);

interface ShareRun {
  /** Relative deviation of each team's slot time from its portion. */
  readonly errors: ReadonlyMap<TeamId, number>;
  readonly worst: number;
  readonly busyRatio: number;
  readonly refusedByTargets: number;
  readonly peakRunning: number;
}

/**
 * Computes the figures of a run: slot time is counted from the reset of the targets on, refusals and
 * the peak of running work from the start of the run on.
 */
function figuresOf(
  model: FleetModel,
  portions: Readonly<Record<TeamId, number>>,
  slots: number,
): ShareRun {
  const { refused, peakRunning } = model.targets;
  const heldMs = model.targets.heldMs();
  const total = [...heldMs.values()].reduce((sum, ms) => sum + ms, 0);
  const all = Object.values(portions).reduce((sum, portion) => sum + portion, 0);
  const errors = new Map(
    Object.entries(portions).map(([teamId, portion]) => [
      teamId,
      (heldMs.get(teamId) ?? 0) / total / (portion / all) - 1,
    ]),
  );
  return {
    errors,
    worst: Math.max(...[...errors.values()].map(Math.abs)),
    busyRatio: total / (slots * WINDOW_MS),
    refusedByTargets: refused,
    peakRunning,
  };
}

async function run(
  options: FleetOptions,
  kills: boolean,
  warmUpMs = WARM_UP_MS,
): Promise<ShareRun> {
  const model = new FleetModel(options);
  await model.runUntil(warmUpMs);
  model.targets.reset();
  if (kills) {
    await model.runUntil(warmUpMs + KILL_AFTER_MS);
    const [home = ''] = model.homes();
    const other = model.members.liveEntries().find((entryId) => entryId !== home) ?? '';
    model.kill([home, other], KILL_NOTICE_DELAY_MS);
  }
  await model.runUntil(warmUpMs + WINDOW_MS);
  const targets = options.pools.reduce((sum, pool) => sum + pool.targets, 0);
  return figuresOf(model, SHARES, targets * options.slots);
}

export class ShareBench extends Bench {
  readonly name = 'share';

  readonly summary = 'deviation of each team from its share over 60 s, also with entries killed';

  async run({ seed }: BenchOptions): Promise<BenchResult> {
    const options: FleetOptions = {
      entries: ENTRIES,
      pools: ['p0', 'p1', 'p2'].map((poolId) => ({ poolId, targets: 7, teams: TEAMS })),
      slots: SLOTS,
      shares: SHARES,
      runMs: RUN_MS,
      declaredRunMs: DECLARED_RUN_MS,
      urgentRatio: 0.3,
      outstanding: 120,
      seed,
    };
    const allLive = this.print('all entries live', await run(options, false));
    const killed = this.print('two of eight killed', await run(options, true));
    this.print('no warm-up', await run(options, false, 0));
    this.print('a flood of urgent work first', await run({ ...options, urgentFlood: true }, false));
    const [first, second] = options.pools;
    if (first && second) {
      const pools = [first, { ...second, teams: ['a', 'c'] }];
      this.print('two pools, one for teams a and c only', await run({ ...options, pools }, false));
    }
    return {
      bounds: [
        checkBound('worst share error', allLive.worst, 'part', 'at-most', MAX_SHARE_ERROR),
        checkBound(
          'worst share error, 2 of 8 killed',
          killed.worst,
          'part',
          'at-most',
          MAX_SHARE_ERROR,
        ),
        checkBound('most running on a target', killed.peakRunning, 'runs', 'at-most', SLOTS),
      ],
    };
  }

  private print(name: string, figures: ShareRun): ShareRun {
    const errors = [...figures.errors]
      .map(([teamId, error]) => `${teamId} ${(100 * error).toFixed(2)} %`)
      .join(', ');
    this.note(
      `${name}: ${errors}; slots busy ${(100 * figures.busyRatio).toFixed(1)} %, ` +
        `refused by full targets ${figures.refusedByTargets}`,
    );
    return figures;
  }
}
