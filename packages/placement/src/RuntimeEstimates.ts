/**
 * Estimates task runtimes per queue from the recent runs of the queue. Declared runtimes are far
 * off, so they are used only until the first run of the queue has ended.
 */

/** Smallest weight of the newest run in the moving average. */
const MIN_NEWEST_WEIGHT = 0.1;

/** Estimate for a queue without any run or declared runtime, in milliseconds. */
const DEFAULT_RUNTIME_MS = 1_000;

interface Estimate {
  meanMs: number;
  count: number;
}

export class RuntimeEstimates {
  private readonly byQueue = new Map<string, Estimate>();

  /** Adds the runtime of a successful run to the estimate. */
  record(queueId: string, runtimeMs: number): void {
    const known = this.byQueue.get(queueId);
    if (!known) {
      this.byQueue.set(queueId, { meanMs: runtimeMs, count: 1 });
      return;
    }
    known.count += 1;
    const share = Math.max(MIN_NEWEST_WEIGHT, 1 / known.count);
    known.meanMs += (runtimeMs - known.meanMs) * share;
  }

  /** Expected runtime in milliseconds. */
  meanMs(queueId: string, declaredMs: number): number {
    const known = this.byQueue.get(queueId);
    if (known) return known.meanMs;
    return declaredMs > 0 ? declaredMs : DEFAULT_RUNTIME_MS;
  }

  /** Whether the estimate is based on at least `count` runs. */
  isTrusted(queueId: string, count: number): boolean {
    return (this.byQueue.get(queueId)?.count ?? 0) >= count;
  }
}
