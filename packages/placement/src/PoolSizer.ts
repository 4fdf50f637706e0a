/**
 * How many instances each pool should have. Answers the load in which queues ask for several times
 * their mean by turns: a pool grows as soon as what waits and runs needs it, and gives instances
 * back only after it has needed less for a while, so that it does not swing with every job.
 */

export interface PoolDemand {
  readonly poolId: string;
  /** Processor that running and waiting work asks for, thousandths of a core. */
  readonly demandCpuMilli: number;
  /** Instances that are up or on their way. */
  readonly instanceCount: number;
  readonly cpuMilliPerInstance: number;
}

/** Work does not fill an instance to the last core. */
const FILL_SHARE = 0.85;

/** A pool gives instances back after needing fewer for this long, in milliseconds. */
const SHRINK_AFTER_MS = 2_000;

/** A pool never has fewer. */
const LEAST_INSTANCES = 1;

interface History {
  /** Largest need lately, and when it was last that large. */
  peak: number;
  peakMs: number;
}

export interface PoolTarget {
  readonly poolId: string;
  /** Instances needed now. */
  readonly needed: number;
  /** Instances above this may be given away. */
  readonly kept: number;
}

export class PoolSizer {
  private readonly histories = new Map<string, History>();

  size(pools: readonly PoolDemand[], nowMs: number): PoolTarget[] {
    return pools.map((pool) => this.sizeOne(pool, nowMs));
  }

  private sizeOne(pool: PoolDemand, nowMs: number): PoolTarget {
    const perInstance = Math.max(1, pool.cpuMilliPerInstance * FILL_SHARE);
    const needed = Math.max(LEAST_INSTANCES, Math.ceil(pool.demandCpuMilli / perInstance));
    return { poolId: pool.poolId, needed, kept: this.peakOf(pool, needed, nowMs) };
  }

  private peakOf(pool: PoolDemand, needed: number, nowMs: number): number {
    const history = this.histories.get(pool.poolId) ?? {
      peak: pool.instanceCount,
      peakMs: nowMs,
    };
    this.histories.set(pool.poolId, history);
    if (needed >= history.peak || nowMs - history.peakMs > SHRINK_AFTER_MS) {
      history.peak = needed;
      history.peakMs = nowMs;
    }
    return history.peak;
  }
}
