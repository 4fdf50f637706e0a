/**
 * Estimates how many times as long tasks take on a target as their queues need elsewhere. The
 * evidence is the ratio of each run's total to the median of its queue, of runs that are in
 * progress and of runs that have ended. The median of the ratios keeps a few inherently long tasks
 * from making a sound target look slow.
 */

/** A median of fewer ratios would follow a single long task. */
const MIN_RATIOS = 3;

/**
 * Number of ratios up to which runs that ended before the run in question are added. Long runs are
 * overrepresented among those in progress (a tail of 3 % at seven times the runtime makes up 18 % of
 * them), so three ratios of runs in progress alone are often misleading.
 */
const WANTED_RATIOS = 5;

/**
 * Runs in progress and those that ended within `CURRENT_MS` show a sudden slowdown first. They are
 * believed if three quarters of them are slow; the few of a small target may all be long by chance.
 */
const CURRENT_MS = 500;
const MIN_CURRENT_RATIOS = 4;

/** Ended runs kept per target: what a full target ends within about a second. */
const MAX_ENDED_RUNS = 24;

/** Time after which an ended run says nothing about the target any more, in milliseconds. */
const MAX_ENDED_AGE_MS = 20_000;

/** A target is the cause of its long runs if its runs take this multiple of the usual time. */
const SLOW_TARGET_FACTOR = 2;

/** A target that is slower still is ejected; until then a few runs show whether it recovers. */
const MIN_WEIGHT = 0.25;

interface EndedRatio {
  readonly ratio: number;
  readonly endedMs: number;
}

export class TargetSpeed {
  private readonly endedByTarget = new Map<string, EndedRatio[]>();

  /** Records the total of a run that has ended, or was stopped, as a multiple of its queue's median. */
  recordEnded(targetId: string, ratio: number, nowMs: number): void {
    const ended = this.endedByTarget.get(targetId) ?? [];
    this.endedByTarget.set(targetId, ended);
    ended.push({ ratio, endedMs: nowMs });
    if (ended.length > MAX_ENDED_RUNS) ended.shift();
  }

  forget(targetId: string): void {
    this.endedByTarget.delete(targetId);
  }

  /**
   * Median of the ratios of the runs in progress, of those that ended after `sinceMs`, and, if these
   * are few, of the last ones before. Undefined if there is too little evidence.
   */
  slowdown(
    targetId: string,
    inProgress: readonly number[],
    sinceMs: number,
    nowMs: number,
  ): number | undefined {
    const ended = this.endedByTarget.get(targetId) ?? [];
    const current = [...inProgress];
    const ratios = [...inProgress];
    for (let index = ended.length - 1; index >= 0; index -= 1) {
      const { ratio, endedMs } = ended[index] as EndedRatio;
      if (endedMs < nowMs - MAX_ENDED_AGE_MS) break;
      if (endedMs < sinceMs && ratios.length >= WANTED_RATIOS) break;
      if (endedMs >= nowMs - CURRENT_MS) current.push(ratio);
      ratios.push(ratio);
    }
    if (ratios.length < MIN_RATIOS) return undefined;
    const median = TargetSpeed.quantile(ratios, 0.5);
    if (current.length < MIN_CURRENT_RATIOS) return median;
    return Math.max(median, TargetSpeed.quantile(current, 0.25));
  }

  /** The lower of two neighbours, so that a draw counts in favour of the target. */
  private static quantile(ratios: readonly number[], share: number): number {
    const sorted = Float64Array.from(ratios).sort();
    return sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
  }

  static isSlow(slowdown: number | undefined): boolean {
    return slowdown !== undefined && slowdown >= SLOW_TARGET_FACTOR;
  }

  /** Share of its capacity that a target should be given, so that its queues see the usual speed. */
  static weight(slowdown: number | undefined): number {
    if (slowdown === undefined || !TargetSpeed.isSlow(slowdown)) return 1;
    return Math.max(MIN_WEIGHT, 1 / slowdown);
  }
}
