/**
 * Learned run times. Declared ones are far off, so a queue's own recent runs decide; the declared
 * time serves only until the first run has ended.
 */

/** Weight of the newest run in the moving average. */
const NEWEST_SHARE = 0.1;

/** Assumed when nothing is known, in milliseconds. */
const FALLBACK_MS = 1_000;

interface Estimate {
  meanMs: number;
  count: number;
}

export class RuntimeEstimates {
  private readonly byKind = new Map<string, Estimate>();

  /** Takes up the run time of a task that ended as done. */
  record(queueId: string, runtimeMs: number): void {
    const known = this.byKind.get(queueId);
    if (!known) {
      this.byKind.set(queueId, { meanMs: runtimeMs, count: 1 });
      return;
    }
    known.count += 1;
    const share = Math.max(NEWEST_SHARE, 1 / known.count);
    known.meanMs += (runtimeMs - known.meanMs) * share;
  }

  /** Expected run time in milliseconds. */
  meanMs(queueId: string, declaredMs: number): number {
    const known = this.byKind.get(queueId);
    if (known) return known.meanMs;
    return declaredMs > 0 ? declaredMs : FALLBACK_MS;
  }

  /** Whether at least `count` runs are behind the estimate. */
  isTrusted(queueId: string, count: number): boolean {
    return (this.byKind.get(queueId)?.count ?? 0) >= count;
  }
}
