/**
 * Estimates task runtimes per queue from the recent runs of the queue. Declared runtimes are far
 * off, so they are used only until the first run of the queue has ended.
 */
import { RuntimeDistribution } from './RuntimeDistribution.js';

/**
 * Smallest weight of the newest run in the moving average: the tasks of one job take about equally long,
 * so an average over few runs would follow each single job.
 */
const MIN_NEWEST_WEIGHT = 0.02;

/** Estimate for a queue without any run or declared runtime, in milliseconds. */
const DEFAULT_RUNTIME_MS = 1_000;

/** Runs over which the share of long runs is averaged: 3 % of them is known to within 0.5 %. */
const SHARE_RUNS = 1_000;

/** With a tail of 3 %, this many runs contain a long one in 99.8 of 100 cases. */
const MIN_SHARE_RUNS = 200;

/** Share of long runs below which a queue has no heavy tail. */
const MAX_NEGLIGIBLE_SHARE = 0.005;

/**
 * A run is long if it takes more than this multiple of the median. Runtimes vary by about a third
 * within one queue, which puts 1 in 10,000 runs beyond it; tails take several times the median.
 */
const LONG_FACTOR = 3;

/** Whether long runs are inherent in a queue; `unknown` until enough runs on sound targets ended. */
export type TailKind = 'unknown' | 'negligible' | 'heavy';

/** Values by which the distribution of a queue is handed to another process: its 20-quantiles. */
const HANDED_VALUES = 20;

/** What is worth keeping of a queue's runtimes when another process continues the estimates. */
export interface RuntimeMemory {
  readonly queueId: string;
  readonly meanMs: number;
  /** Runs that the mean is based on. */
  readonly count: number;
  /** Evenly spaced quantiles of the distribution. */
  readonly quantilesMs: readonly number[];
  readonly soundRuns: number;
  readonly longRuns: number;
}

interface Estimate {
  meanMs: number;
  count: number;
  readonly distribution: RuntimeDistribution;
  /** Decaying count of the runs on sound targets, and of the long ones among them. */
  soundRuns: number;
  longRuns: number;
}

export class RuntimeEstimates {
  private readonly byQueue = new Map<string, Estimate>();

  /**
   * Adds the runtime of a successful run to the estimate. `isProjected` means that the run is in the
   * distribution already, because `recordProjected` was called for it.
   */
  record(queueId: string, runtimeMs: number, isProjected = false): void {
    const known = this.byQueue.get(queueId) ?? this.create(queueId);
    known.count += 1;
    const share = Math.max(MIN_NEWEST_WEIGHT, 1 / known.count);
    known.meanMs += (runtimeMs - known.meanMs) * share;
    if (!isProjected) known.distribution.record(runtimeMs);
  }

  /**
   * Adds the projected total of a long run to the distribution while it still runs, at most once per
   * run. Without it, a run that is stopped would be missing from the tail.
   */
  recordProjected(queueId: string, totalMs: number): void {
    this.byQueue.get(queueId)?.distribution.record(totalMs);
  }

  /** Counts a run on a sound target, once, towards the share of long runs. */
  recordOnSoundTarget(queueId: string, isLong: boolean): void {
    const known = this.byQueue.get(queueId);
    if (!known) return;
    const kept = 1 - 1 / SHARE_RUNS;
    known.soundRuns = known.soundRuns * kept + 1;
    known.longRuns = known.longRuns * kept + (isLong ? 1 : 0);
  }

  /** Number of runs recorded so far, of all queues. */
  get recordedCount(): number {
    return [...this.byQueue.values()].reduce((sum, { count }) => sum + count, 0);
  }

  /** What another process needs to continue the estimates. */
  get memories(): readonly RuntimeMemory[] {
    return [...this.byQueue].map(([queueId, known]) => ({
      queueId,
      meanMs: known.meanMs,
      count: known.count,
      quantilesMs: Array.from({ length: HANDED_VALUES }, (_, part) =>
        known.distribution.quantileMs((part + 0.5) / HANDED_VALUES),
      ),
      soundRuns: known.soundRuns,
      longRuns: known.longRuns,
    }));
  }

  /** Continues from what another process knew of the runtimes. */
  restore(memories: readonly RuntimeMemory[]): void {
    memories.forEach(({ queueId, quantilesMs, ...memory }) => {
      const restored = Object.assign(this.create(queueId), memory);
      quantilesMs.forEach((valueMs) => restored.distribution.record(valueMs));
    });
  }

  /** Expected runtime in milliseconds. */
  meanMs(queueId: string, declaredMs: number): number {
    const known = this.byQueue.get(queueId);
    // A moving average of few runs would follow each single run of a heavy tail.
    if (known && this.tailKind(queueId) === 'heavy') return known.distribution.meanMs;
    if (known) return known.meanMs;
    return declaredMs > 0 ? declaredMs : DEFAULT_RUNTIME_MS;
  }

  /** Median runtime in milliseconds, which a tail hardly moves; 0 without any run. */
  medianMs(queueId: string): number {
    return this.byQueue.get(queueId)?.distribution.medianMs ?? 0;
  }

  /** Expected total of a run that has taken `ageMs` without a report of progress. */
  expectedTotalMs(queueId: string, ageMs: number, declaredMs: number): number {
    const remainingMs = this.byQueue.get(queueId)?.distribution.remainingMs(ageMs);
    if (remainingMs !== undefined) return ageMs + remainingMs;
    return Math.max(ageMs, this.meanMs(queueId, declaredMs));
  }

  /** Whether a runtime is long compared with the other runs of the queue. */
  isLong(queueId: string, runtimeMs: number): boolean {
    return runtimeMs > this.medianMs(queueId) * LONG_FACTOR;
  }

  /** Share of the runs on sound targets that are long; undefined while it is unknown. */
  longShare(queueId: string): number | undefined {
    const known = this.byQueue.get(queueId);
    // The decaying count stays just below the number of runs.
    if (!known || known.soundRuns < MIN_SHARE_RUNS * (1 - MIN_SHARE_RUNS / SHARE_RUNS)) {
      return undefined;
    }
    return known.longRuns / known.soundRuns;
  }

  tailKind(queueId: string): TailKind {
    const share = this.longShare(queueId);
    if (share === undefined) return 'unknown';
    return share < MAX_NEGLIGIBLE_SHARE ? 'negligible' : 'heavy';
  }

  /** Whether the estimate is based on at least `count` runs. */
  isTrusted(queueId: string, count: number): boolean {
    return (this.byQueue.get(queueId)?.count ?? 0) >= count;
  }

  private create(queueId: string): Estimate {
    const distribution = new RuntimeDistribution();
    const created = { meanMs: 0, count: 0, distribution, soundRuns: 0, longRuns: 0 };
    this.byQueue.set(queueId, created);
    return created;
  }
}
