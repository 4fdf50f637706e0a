/**
 * Measures scheduling under bursts, in virtual time. Each service in turn receives five times its
 * mean load for some seconds, which is more than its pool can run, and a twentieth of the mean in
 * between. The bench measures how soon urgent requests start, whether refusals come immediately
 * and are justified, and how close each team stays to its share, and prints the same figures for
 * first come, first served and for strict priority.
 */
import { type PoolSchedulerParts } from '@acaciadock/scheduling';
import { Bench, type BenchOptions, type BenchResult, type Bound, checkBound } from './Bench.js';
import {
  burstShareError,
  refusalsOf,
  startsOf,
  correctRefusalRatio,
} from './scheduling/BurstFigures.js';
import { type BurstRun, simulateBursts } from './scheduling/BurstLoad.js';
import { FcfsQueue } from './scheduling/FcfsQueue.js';
import { StrictPriorityQueue } from './scheduling/StrictPriorityQueue.js';

const MAX_URGENT_START_MS = 5_600;
const MIN_CORRECT_REFUSAL_RATIO = 0.95;
/** `boundsMaxStart`: whether the maximum start time of urgent work is bounded as well as the p99. */
const LOADS = [
  { urgentRatio: 0.4, load: 0.75, probeEvery: 5, boundsMaxStart: true },
  { urgentRatio: 0.8, load: 0.75, probeEvery: 5, boundsMaxStart: true },
  // A burst brings far more urgent work than can start in time, so most of it must be refused.
  { urgentRatio: 1, load: 0.9, probeEvery: 200, boundsMaxStart: false },
];

const BASELINES: Readonly<Record<string, PoolSchedulerParts['queueOf']>> = {
  'first come first served': () => new FcfsQueue(),
  'strict priority': () => new StrictPriorityQueue(),
};

export class BurstBench extends Bench {
  readonly name = 'burst';

  readonly summary = 'start of urgent work, refusals and shares in bursts of five times the mean';

  async run({ seed }: BenchOptions): Promise<BenchResult> {
    const bounds = LOADS.flatMap((load) => {
      const name = `${load.urgentRatio * 100} % urgent at load ${load.load}`;
      const found = this.measure(name, simulateBursts({ ...load, seed }), load.boundsMaxStart);
      Object.entries(BASELINES).forEach(([baseline, queueOf]) => {
        this.print(`${name}, ${baseline}`, simulateBursts({ ...load, seed, queueOf }));
      });
      return found;
    });
    return { bounds };
  }

  private measure(
    name: string,
    runs: readonly BurstRun[],
    boundsMaxStart: boolean,
  ): readonly Bound[] {
    this.print(name, runs);
    const urgent = startsOf(runs, 'urgent');
    const refused = refusalsOf(runs, 'urgent');
    const halfBoundMs = MAX_URGENT_START_MS / 2;
    const bounds = [
      checkBound(`${name}: urgent start p99`, urgent.p99Ms, 'ms', 'at-most', MAX_URGENT_START_MS),
      checkBound(`${name}: refusals after a wait`, refused.late, 'requests', 'exactly', 0),
      checkBound(
        `${name}: refused that would have waited over ${halfBoundMs} ms`,
        correctRefusalRatio(refused, halfBoundMs),
        'part',
        'at-least',
        MIN_CORRECT_REFUSAL_RATIO,
      ),
    ];
    if (!boundsMaxStart) return bounds;
    const max = checkBound(
      `${name}: urgent start max`,
      urgent.maxMs,
      'ms',
      'at-most',
      MAX_URGENT_START_MS,
    );
    return [...bounds, max];
  }

  private print(name: string, runs: readonly BurstRun[]): void {
    const urgent = startsOf(runs, 'urgent');
    const background = startsOf(runs, 'background');
    const refused = refusalsOf(runs, 'urgent');
    const refusedBackground = refusalsOf(runs, 'background');
    this.note(
      `${name}: urgent starts ${urgent.count}, p99 ${urgent.p99Ms} ms, max ${Math.round(urgent.maxMs)} ms; ` +
        `background p99 ${background.p99Ms} ms; refused urgent ${refused.count} ` +
        `(after a wait ${refused.late}; of ${refused.probeWaitsMs.length} queued all the same ` +
        `${correctRefusalRatio(refused, MAX_URGENT_START_MS).toFixed(3)} would have started after ${MAX_URGENT_START_MS} ms, ` +
        `the first after ${Math.round(refused.probeWaitsMs[0] ?? 0)} ms), background ${refusedBackground.count}; ` +
        `share error in bursts ${(100 * burstShareError(runs)).toFixed(1)} %`,
    );
  }
}
