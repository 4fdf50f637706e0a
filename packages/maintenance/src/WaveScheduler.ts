/**
 * Plans all waves of a roll-out in advance from instance counts: the order of the racks, the number
 * of moves and the capacity that is missing meanwhile. The additional rack that may be lost is
 * always taken to be the largest rack of a pool, so a planned wave never takes more instances than
 * the check of the roll-out itself will allow.
 */
import { type InstanceId, type ZoneId } from '@acaciadock/core';
import { type FleetShape, type RackShape } from './FleetShape.js';

export interface StepTimes {
  /** Time from closing an instance to its return to service. */
  readonly stepMs: number;
  /** Time from closing an instance in one pool to its first work in the other pool. */
  readonly moveMs: number;
}

/** A candidate way to use spare capacity and to size the waves. */
export interface SpareUse {
  readonly racksAtOnce: number;
  /** Maximum number of instances out of service at once; unlimited if undefined. */
  readonly instancesAtOnce?: number;
  /** Permanent spares: additional instances that stay in each pool, by index of the pool. */
  readonly kept: readonly number[];
  /** Lendable spares: number of spares that are lent to pools in turn. */
  readonly shared: number;
}

export interface Wave {
  /** Time from the start of the roll-out. */
  readonly startMs: number;
  readonly zoneId: ZoneId;
  readonly instanceIds: readonly InstanceId[];
}

export interface WaveSchedule {
  readonly waves: readonly Wave[];
  readonly durationMs: number;
  readonly moves: number;
  /** Mean fraction of the service pools' instances that is missing during the roll-out. */
  readonly meanMissing: number;
  /** Number of instances that no wave could take without breaking a budget. */
  readonly leftOut: number;
}

/** Number of racks, in roll-out order, that are considered for one wave. */
const LOOKAHEAD_RACKS = 64;

/** Part of the roll-out that covers the pools which can be maintained at the same time. */
interface Phase {
  readonly pools: ReadonlySet<number>;
  /** Lent spares: how many of the lendable ones each pool has during the phase, by its index. */
  readonly lent: ReadonlyMap<number, number>;
}

interface PendingRack {
  readonly rack: RackShape;
  /** Instances that no wave has taken yet, by the index of their pool. */
  readonly left: { readonly pool: number; readonly instanceIds: InstanceId[] }[];
}

export class WaveScheduler {
  private readonly waves: Wave[] = [];

  private nowMs = 0;

  private moves = 0;

  private weightedMissingMs = 0;

  private leftOut = 0;

  constructor(
    private readonly shape: FleetShape,
    private readonly use: SpareUse,
    private readonly times: StepTimes,
  ) {
    this.moves = use.kept.reduce((sum, count) => sum + count, 0);
  }

  schedule(): WaveSchedule {
    this.phases().forEach((phase) => this.runPhase(phase));
    const durationMs = this.nowMs;
    const { waves, moves, leftOut } = this;
    const meanMissing = durationMs > 0 ? this.weightedMissingMs / durationMs : 0;
    return { waves, durationMs, moves, meanMissing, leftOut };
  }

  /** Instances that a pool lacks before one of its own can be taken out of service. */
  private deficit(pool: number): number {
    const shape = this.shape.pools[pool];
    if (!shape || shape.neededInstances === 0) return 0;
    // With one instance out of service and the largest rack of the pool lost.
    const capacityDuringStep = shape.instances + (this.use.kept[pool] ?? 0) - shape.maxInRack - 1;
    return Math.max(0, shape.neededInstances - capacityDuringStep);
  }

  /** Groups the pools that need spares into phases, each with as many as can get theirs at once. */
  private phases(): readonly Phase[] {
    const free = new Set<number>();
    const needingSpares: { pool: number; deficit: number }[] = [];
    this.shape.pools.forEach((_, pool) => {
      const deficit = this.deficit(pool);
      if (deficit === 0) free.add(pool);
      else if (deficit <= this.use.shared) needingSpares.push({ pool, deficit });
      else this.leftOut += this.shape.pools[pool]?.instances ?? 0;
    });
    const phases: { pools: Set<number>; lent: Map<number, number> }[] = [
      { pools: free, lent: new Map() },
    ];
    let freeSpares = this.use.shared;
    needingSpares.forEach(({ pool, deficit }) => {
      if (deficit > freeSpares) {
        phases.push({ pools: new Set(), lent: new Map() });
        freeSpares = this.use.shared;
      }
      freeSpares -= deficit;
      const phase = phases[phases.length - 1];
      phase?.pools.add(pool);
      phase?.lent.set(pool, deficit);
    });
    return phases;
  }

  /** Plans the waves of a phase, including the moves that lend its spares and return them. */
  private runPhase(phase: Phase): void {
    const lent = [...phase.lent.values()].reduce((sum, count) => sum + count, 0);
    this.moves += 2 * lent;
    if (lent > 0) this.nowMs += this.times.moveMs;
    const waiting = this.shape.racks
      .map((rack) => ({
        rack,
        left: rack.members
          .filter(({ pool }) => phase.pools.has(pool))
          .map(({ pool, instanceIds }) => ({ pool, instanceIds: [...instanceIds] })),
      }))
      .filter(({ left }) => left.length > 0);
    let next = LOOKAHEAD_RACKS;
    let open = waiting.slice(0, next);
    while (open.length > 0 && this.runWave(open, phase)) {
      open = open.filter((rack) => WaveScheduler.remainingCount(rack) > 0);
      const refilled = waiting.slice(next, next + LOOKAHEAD_RACKS - open.length);
      next += refilled.length;
      open.push(...refilled);
    }
    const unscheduled = [...open, ...waiting.slice(next)];
    this.leftOut += unscheduled.reduce((sum, rack) => sum + WaveScheduler.remainingCount(rack), 0);
    if (lent > 0) this.nowMs += this.times.moveMs;
  }

  private static remainingCount({ left }: PendingRack): number {
    return left.reduce((sum, { instanceIds }) => sum + instanceIds.length, 0);
  }

  /** Plans the next wave; returns false if no instance can be taken within the budgets. */
  private runWave(open: readonly PendingRack[], phase: Phase): boolean {
    const out = new Map<number, number>();
    const taken: InstanceId[] = [];
    let zoneId: ZoneId | undefined;
    let racks = 0;
    for (const candidate of open) {
      if (racks >= this.use.racksAtOnce) break;
      const sameZone = zoneId === undefined || candidate.rack.zoneId === zoneId;
      const before = taken.length;
      if (sameZone) this.takeFromRack(candidate, phase, out, taken);
      if (taken.length > before) {
        zoneId = candidate.rack.zoneId;
        racks += 1;
      }
    }
    if (zoneId === undefined) return false;
    this.waves.push({ startMs: this.nowMs, zoneId, instanceIds: taken });
    this.nowMs += this.times.stepMs;
    this.weightedMissingMs += this.missing(out, phase) * this.times.stepMs;
    return true;
  }

  /** Adds instances of a rack to the wave, as many as the pools and `instancesAtOnce` allow. */
  private takeFromRack(
    candidate: PendingRack,
    phase: Phase,
    out: Map<number, number>,
    taken: InstanceId[],
  ): void {
    const maxInstances = this.use.instancesAtOnce ?? Number.POSITIVE_INFINITY;
    candidate.left.forEach(({ pool, instanceIds }) => {
      const alreadyOut = out.get(pool) ?? 0;
      const headroom = Math.min(
        this.headroom(pool, phase) - alreadyOut,
        maxInstances - taken.length,
      );
      const part = instanceIds.splice(0, Math.max(0, headroom));
      out.set(pool, alreadyOut + part.length);
      taken.push(...part);
    });
  }

  /** Number of instances of the pool that may be out of service at once. */
  private headroom(pool: number, phase: Phase): number {
    const shape = this.shape.pools[pool];
    if (!shape) return 0;
    if (shape.neededInstances === 0) return shape.instances;
    const capacity = shape.instances + (this.use.kept[pool] ?? 0) + (phase.lent.get(pool) ?? 0);
    return capacity - shape.maxInRack - shape.neededInstances;
  }

  /** Fraction of the service pools' instances that is missing with `out` out of service. */
  private missing(out: ReadonlyMap<number, number>, phase: Phase): number {
    let missing = 0;
    let serving = 0;
    this.shape.pools.forEach(({ neededInstances, instances }, pool) => {
      if (neededInstances === 0) return;
      serving += instances;
      // Permanent and lent spares make up for instances that are out of service.
      const extra = (this.use.kept[pool] ?? 0) + (phase.lent.get(pool) ?? 0);
      missing += Math.max(0, (out.get(pool) ?? 0) - extra);
    });
    return serving > 0 ? missing / serving : 0;
  }
}
