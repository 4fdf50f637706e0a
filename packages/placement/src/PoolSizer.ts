/**
 * Computes how many instances each pool should have when the pools take turns in needing several
 * times their mean demand. A pool grows as soon as its waiting, running and arriving work needs
 * more instances, and ahead of a turn that is forecast. It releases instances after it has needed
 * fewer for a while. A pool that has not had a turn yet keeps a part of its initial instances,
 * because its peak demand is unknown; the starts of the turns of other pools bound that part.
 */
import { type ResourceVector, type Resources } from './ResourceVector.js';
import { type NeedSample, SustainedNeeds } from './SustainedNeeds.js';
import { MAX_COUNTED_TASKS } from './TaskFitBound.js';
import { type NextTurn } from './TurnForecast.js';

/** Lower bounds on the number of instances; see `TaskFitBound`. */
export interface InstanceBounds {
  readonly byMemory: number;
  readonly byGpu: number;
  /** By the maximum number of tasks per target of long-running steps. */
  readonly byTaskLimit: number;
}

/** What determines the number of instances that a pool needs. */
export type LimitingResource = 'cpu' | 'memory' | 'gpu' | 'tasks-per-target' | 'long-running';

export interface PoolDemand {
  readonly poolId: string;
  /** Demand of running and waiting work. */
  readonly demand: ResourceVector;
  /** Resources needed to keep up with the arrivals. */
  readonly arriving: ResourceVector;
  /** Targets needed for suspects of crashes, which share them with no other new task. */
  readonly targetsForSuspects: number;
  /** Lower bounds on the number of instances that follow from the running and waiting tasks. */
  readonly bounds: InstanceBounds;
  /** Instances that accept work or are moving to the pool; draining ones do not count. */
  readonly instanceCount: number;
  /** Instances that already accept work. */
  readonly openCount: number;
  /** Capacity of one instance. */
  readonly capacity: Resources;
  /** Whether the pool has had a turn, as defined by `TurnForecast`. */
  readonly hasHadTurn: boolean;
  /** Whether its first turn seems to begin, as defined by `RisingPools`. */
  readonly isRising: boolean;
  /**
   * A long-running task found no room, or another task has none beside the long-running ones. The pool
   * then needs another instance, even if its total demand fits the instances that it has.
   */
  readonly lacksPlace: boolean;
}

/** Usable fraction of the CPU of an instance: tasks never fill it to the last core. */
const USABLE_SHARE = 0.85;

/**
 * Usable fraction of the memory of an instance. Tasks above this size are counted one by one by
 * `TaskFitBound`, and smaller ones leave less than the size of one task free.
 */
const USABLE_MEMORY_SHARE = 1 - 1 / (MAX_COUNTED_TASKS + 1);

/** A pool releases instances after it has needed fewer for this long, in milliseconds. */
const SHRINK_AFTER_MS = 1_200;

/**
 * Instances that only an extrapolated need asked for are released after this long, in milliseconds.
 * By then at least two rounds of the control loop have not asked for them again.
 */
const EXTRAPOLATION_KEPT_MS = 400;

/** A pool never needs fewer instances than this. */
const MIN_INSTANCES = 1;

/** A pool that has not had a turn keeps at least this fraction of its initial instances. */
const INITIAL_KEPT_SHARE = 0.5;

/**
 * The start of a turn is this long after the turn was recognized, in milliseconds: one move and its
 * delays. What a pool needs later can be moved to it in time.
 */
const TURN_START_MS = 2_200;

/** How far ahead a pool prepares for its turn, in milliseconds: one move and its delays. */
const PREPARE_AHEAD_MS = 2_200;

/** Window over which the growth of the need is measured, in milliseconds. */
const TREND_WINDOW_MS = 1_000;

/** Growth is extrapolated over this many trend windows, which is about the time of a move. */
const EXTRAPOLATED_WINDOWS = 0.8;

/** Largest recent need, and the time at which it was last that large. */
interface Peak {
  count: number;
  atMs: number;
}

interface TurnStart {
  /** Time at which the turn was recognized. */
  readonly sinceMs: number;
  /** Largest need since then, until the start is over. */
  readonly need: number;
  readonly isOver: boolean;
}

interface History {
  /** Needs within the trend window, oldest first. */
  recent: NeedSample[];
  readonly peak: Peak;
  /** The same with the extrapolated growth. */
  readonly extrapolatedPeak: Peak;
  /** Largest need of the pool so far, which its next turn is expected to reach again. */
  turnPeak: number;
  /** Instances of the pool when it was first seen. */
  readonly initialCount: number;
  /** The start of the pool's first turn; undefined if it was not observed. */
  start?: TurnStart | undefined;
  /** Whether the pool was seen before its first turn. */
  readonly isSeenBeforeTurn: boolean;
}

interface CurrentNeed {
  readonly count: number;
  /**
   * The part of `count` that the next turn is expected to need again. One more than the open
   * instances, for a task that lacks a place, would raise it with every instance that is added
   * and with every idle one that the pool still has, so it counts as one more than the work needs.
   */
  readonly turnNeed: number;
  readonly limitedBy: LimitingResource;
}

/** What is worth keeping of a pool's history when another process continues the sizing. */
export interface PoolMemory {
  readonly poolId: string;
  /** Largest need of the pool so far. */
  readonly turnPeak: number;
  /** Instances of the pool when it was first seen. */
  readonly initialCount: number;
  /** Largest need at the start of the pool's first turn, if that was observed. */
  readonly startNeed?: number | undefined;
  /** Largest need in the pool's turns that lasted; undefined before its first turn. */
  readonly sustainedNeed?: number | undefined;
}

export interface PoolSize {
  readonly poolId: string;
  /** Instances needed now. */
  readonly needed: number;
  /** Instances in excess of this may be moved to other pools. */
  readonly kept: number;
  /** The resource by which the pool needs the most instances now, before extrapolation. */
  readonly limitedBy: LimitingResource;
}

export class PoolSizer {
  private readonly histories = new Map<string, History>();

  private readonly restored = new Map<string, PoolMemory>();

  private readonly sustained = new SustainedNeeds();

  /** `spareCount` is the number of instances of the spare pool that can be moved now. */
  size(
    pools: readonly PoolDemand[],
    next: NextTurn | undefined,
    nowMs: number,
    spareCount = 0,
  ): PoolSize[] {
    return pools.map((pool) => this.sizeOne(pool, next, nowMs, spareCount));
  }

  /** What another process needs to continue the sizing of each pool. */
  get memories(): readonly PoolMemory[] {
    return [...this.histories].map(([poolId, { turnPeak, initialCount, start }]) => ({
      poolId,
      turnPeak,
      initialCount,
      startNeed: start?.isOver === true ? start.need : undefined,
      sustainedNeed: this.sustained.largestOf(poolId),
    }));
  }

  /** Continues from what another process knew of the pools. */
  restore(memories: readonly PoolMemory[]): void {
    memories.forEach((memory) => {
      const { poolId, initialCount, sustainedNeed: largest } = memory;
      this.restored.set(poolId, memory);
      if (largest !== undefined) this.sustained.restore(poolId, { initialCount, largest });
    });
  }

  private sizeOne(
    pool: PoolDemand,
    next: NextTurn | undefined,
    nowMs: number,
    spareCount: number,
  ): PoolSize {
    const { poolId, hasHadTurn } = pool;
    const history = this.historyOf(pool, nowMs);
    const { count: workNeed, turnNeed, limitedBy } = PoolSizer.currentNeedOf(pool);
    // Suspects come and go with crashes, so their number has no trend.
    const growth = PoolSizer.extrapolatedGrowth(history, workNeed, nowMs);
    const currentNeed = workNeed + pool.targetsForSuspects;
    const needed = currentNeed + growth;
    const { peak, extrapolatedPeak } = history;
    PoolSizer.update(peak, currentNeed, nowMs, SHRINK_AFTER_MS);
    PoolSizer.update(extrapolatedPeak, needed, nowMs, EXTRAPOLATION_KEPT_MS);
    history.turnPeak = Math.max(history.turnPeak, turnNeed);
    if (hasHadTurn) {
      history.start = PoolSizer.startAfter(history, turnNeed, nowMs);
      this.sustained.record(poolId, history.initialCount, history.recent);
    }
    const recentNeed = Math.max(peak.count, extrapolatedPeak.count);
    const expectedNeed = this.expectedNeed(pool, history, next);
    const kept = hasHadTurn
      ? recentNeed
      : Math.max(recentNeed, this.keptBeforeTurn(history.initialCount, spareCount));
    return {
      poolId,
      needed: Math.max(needed, expectedNeed),
      kept: Math.max(kept, expectedNeed),
      limitedBy,
    };
  }

  /** Instances for a turn of the pool that is forecast, or whose first one has just begun. */
  private expectedNeed(
    { poolId, hasHadTurn, isRising }: PoolDemand,
    { turnPeak, start, initialCount }: History,
    next: NextTurn | undefined,
  ): number {
    const isTurnNear = next?.poolId === poolId && next.inMs < PREPARE_AHEAD_MS;
    if (isTurnNear) return turnPeak;
    const isFirstBeginning = hasHadTurn ? start?.isOver === false : isRising;
    return isFirstBeginning ? this.sustained.expectedFor(poolId, initialCount) : 0;
  }

  /** The start of the pool's first turn, after the given need. */
  private static startAfter(
    { start, isSeenBeforeTurn }: History,
    need: number,
    nowMs: number,
  ): TurnStart | undefined {
    if (start?.isOver === true || !isSeenBeforeTurn) return start;
    const sinceMs = start?.sinceMs ?? nowMs;
    const isOver = nowMs - sinceMs >= TURN_START_MS;
    return { sinceMs, need: Math.max(need, start?.need ?? 0), isOver };
  }

  /**
   * Instances that a pool without a turn keeps: a part of its initial ones, but no more than the
   * other pools needed at the start of their first turns. The larger of that number and of its
   * proportion to the initial instances counts, because instances cost less than late jobs. What
   * is released beyond the part must be there as spare instances, to be moved back in the turn.
   */
  private keptBeforeTurn(initialCount: number, spareCount: number): number {
    const part = Math.ceil(initialCount * INITIAL_KEPT_SHARE);
    const startNeeds = [...this.histories.values()].flatMap((other) =>
      other.start?.isOver === true
        ? [other.start.need * Math.max(1, initialCount / Math.max(1, other.initialCount))]
        : [],
    );
    if (startNeeds.length === 0) return part;
    return Math.min(part, Math.max(Math.ceil(Math.max(...startNeeds)), part - spareCount));
  }

  /** Instances for the work that runs, waits and arrives, by the resource that needs the most. */
  private static currentNeedOf(pool: PoolDemand): CurrentNeed {
    const { bounds, capacity } = pool;
    const { cpuMilli, memoryMb, gpuCount } = pool.demand.max(pool.arriving);
    const byCpu = Math.ceil(cpuMilli / Math.max(1, capacity.cpuMilli * USABLE_SHARE));
    const byMemory = PoolSizer.countFor(memoryMb, capacity.memoryMb * USABLE_MEMORY_SHARE);
    const byGpu = PoolSizer.countFor(gpuCount, capacity.gpuCount);
    // CPU is first, so that it is reported where several resources need equally many.
    const needs: readonly [LimitingResource, number][] = [
      ['cpu', Math.max(MIN_INSTANCES, byCpu)],
      ['memory', Math.max(bounds.byMemory, byMemory)],
      ['gpu', Math.max(bounds.byGpu, byGpu)],
      ['tasks-per-target', bounds.byTaskLimit],
    ];
    const largest = needs.reduce((most, need) => (need[1] > most[1] ? need : most));
    const [, byWork] = largest;
    const byLongRunning = pool.lacksPlace ? pool.openCount + 1 : 0;
    if (byLongRunning <= byWork) return { count: byWork, turnNeed: byWork, limitedBy: largest[0] };
    return { count: byLongRunning, turnNeed: byWork + 1, limitedBy: 'long-running' };
  }

  /** Instances that provide the amount; 0 if they have none of the resource. */
  private static countFor(amount: number, perInstance: number): number {
    return perInstance > 0 ? Math.ceil(amount / perInstance) : 0;
  }

  /** Instances that will be needed in addition once an instance ordered now has arrived. */
  private static extrapolatedGrowth(history: History, currentNeed: number, nowMs: number): number {
    const recent = history.recent.filter(({ atMs }) => nowMs - atMs <= TREND_WINDOW_MS);
    Object.assign(history, { recent: [...recent, { atMs: nowMs, count: currentNeed }] });
    const before = recent[0]?.count ?? currentNeed;
    return Math.max(0, Math.ceil((currentNeed - before) * EXTRAPOLATED_WINDOWS));
  }

  private historyOf({ poolId, instanceCount, hasHadTurn }: PoolDemand, nowMs: number): History {
    const known = this.histories.get(poolId);
    if (known) return known;
    const restored = this.restored.get(poolId);
    const created: History = {
      recent: [],
      peak: { count: instanceCount, atMs: nowMs },
      extrapolatedPeak: { count: 0, atMs: nowMs },
      turnPeak: restored?.turnPeak ?? 0,
      initialCount: restored?.initialCount ?? instanceCount,
      start:
        restored?.startNeed === undefined
          ? undefined
          : { sinceMs: nowMs, need: restored.startNeed, isOver: true },
      isSeenBeforeTurn: !hasHadTurn,
    };
    this.histories.set(poolId, created);
    return created;
  }

  private static update(peak: Peak, count: number, nowMs: number, keptMs: number): void {
    if (count >= peak.count || nowMs - peak.atMs > keptMs)
      Object.assign(peak, { count, atMs: nowMs });
  }
}
