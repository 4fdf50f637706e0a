/**
 * How many instances each pool should have. Answers the load in which queues ask for several times
 * their mean by turns: a pool grows as soon as what waits, runs and arrives needs it, and ahead of
 * a turn that is foreseen; it gives instances back once it has needed fewer for a while. A pool
 * that has not had its turn yet keeps part of what it was given, as nothing is known of its need.
 */
import { type NextTurn } from './TurnForecast.js';

export interface PoolDemand {
  readonly poolId: string;
  /** Processor that running and waiting work asks for, thousandths of a core. */
  readonly demandCpuMilli: number;
  /** Processor that keeps up with the arrivals, thousandths of a core. */
  readonly arrivingCpuMilli: number;
  /** Instances that take work or are on their way; one that is being emptied does not count. */
  readonly instanceCount: number;
  /** Those of them that take work already. */
  readonly openCount: number;
  readonly cpuMilliPerInstance: number;
  readonly hasHadTurn: boolean;
  /** Tasks that last wait for room, whatever the processor left over: they need another instance. */
  readonly hasServingWaiting: boolean;
}

/** Work does not fill an instance to the last core. */
const FILL_SHARE = 0.85;

/** A pool gives instances back after needing fewer for this long, in milliseconds. */
const SHRINK_AFTER_MS = 1_200;

/** A pool never has fewer. */
const LEAST_INSTANCES = 1;

/** A pool that has not had its turn keeps this share of the instances it was given. */
const UNSEEN_SHARE = 0.5;

/** A foreseen turn is prepared for this long ahead, in milliseconds: a move and its delays. */
const PREPARE_MS = 2_200;

/** The trend of the need is taken over this time, in milliseconds. */
const TREND_MS = 1_000;

/** A rising need is carried forward by this many trends: about the time that a move takes. */
const TRENDS_AHEAD = 0.8;

interface Need {
  readonly atMs: number;
  readonly count: number;
}

interface History {
  /** Needs of the last moments, oldest first. */
  recent: Need[];
  /** Largest need lately, and when it was last that large. */
  peak: number;
  peakMs: number;
  /** Largest need in the pool's last turn. */
  turnPeak: number;
  readonly firstCount: number;
}

export interface PoolSize {
  readonly poolId: string;
  /** Instances needed now. */
  readonly needed: number;
  /** Instances above this may be given away. */
  readonly kept: number;
}

export class PoolSizer {
  private readonly histories = new Map<string, History>();

  size(pools: readonly PoolDemand[], next: NextTurn | undefined, nowMs: number): PoolSize[] {
    return pools.map((pool) => this.sizeOne(pool, next, nowMs));
  }

  private sizeOne(pool: PoolDemand, next: NextTurn | undefined, nowMs: number): PoolSize {
    const { poolId, hasHadTurn } = pool;
    const history = this.historyOf(pool, nowMs);
    const perInstance = Math.max(1, pool.cpuMilliPerInstance * FILL_SHARE);
    const cpuMilli = Math.max(pool.demandCpuMilli, pool.arrivingCpuMilli);
    const least = pool.hasServingWaiting ? pool.openCount + 1 : LEAST_INSTANCES;
    const present = Math.max(least, Math.ceil(cpuMilli / perInstance));
    const needed = present + PoolSizer.rise(history, present, nowMs);
    PoolSizer.update(history, needed, nowMs);
    const isForeseen = next?.poolId === poolId && next.inMs < PREPARE_MS;
    const ahead = isForeseen ? history.turnPeak : 0;
    const kept = hasHadTurn
      ? history.peak
      : Math.max(history.peak, Math.ceil(history.firstCount * UNSEEN_SHARE));
    return { poolId, needed: Math.max(needed, ahead), kept: Math.max(kept, ahead) };
  }

  /** How many more will be needed by the time that an instance ordered now has arrived. */
  private static rise(history: History, present: number, nowMs: number): number {
    const recent = history.recent.filter(({ atMs }) => nowMs - atMs <= TREND_MS);
    Object.assign(history, { recent: [...recent, { atMs: nowMs, count: present }] });
    const before = recent[0]?.count ?? present;
    return Math.max(0, Math.ceil((present - before) * TRENDS_AHEAD));
  }

  private historyOf({ poolId, instanceCount }: PoolDemand, nowMs: number): History {
    const known = this.histories.get(poolId);
    if (known) return known;
    const created = {
      recent: [],
      peak: instanceCount,
      peakMs: nowMs,
      turnPeak: 0,
      firstCount: instanceCount,
    };
    this.histories.set(poolId, created);
    return created;
  }

  private static update(history: History, needed: number, nowMs: number): void {
    if (needed >= history.peak || nowMs - history.peakMs > SHRINK_AFTER_MS) {
      Object.assign(history, { peak: needed, peakMs: nowMs });
    }
    Object.assign(history, { turnPeak: Math.max(history.turnPeak, needed) });
  }
}
