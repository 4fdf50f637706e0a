/**
 * Works out the waves of a roll-out ahead of time, by counts alone: which racks go when, how many
 * instances move, and how much capacity is missing meanwhile. The largest rack of a pool stands
 * for the one more rack that may be lost, so a wave here never takes more than the roll-out will.
 */
import { type InstanceId, type ZoneId } from '@acaciadock/core';
import { type FleetShape, type RackShape } from './FleetShape.js';

export interface StepTimes {
  /** From the closing of an instance to its return. */
  readonly stepMs: number;
  /** From the closing of an instance in one pool to its first work in the other. */
  readonly moveMs: number;
}

/** How the spare capacity is used. */
export interface SpareUse {
  readonly racksAtOnce: number;
  /** Most instances out at once; the racks at once alone bound it if left out. */
  readonly instancesAtOnce?: number;
  /** Extra instances that each pool keeps for good, by index of the pool. */
  readonly kept: readonly number[];
  /** Spares that are lent to pools in turn. */
  readonly shared: number;
}

export interface Wave {
  readonly startMs: number;
  readonly zoneId: ZoneId;
  readonly instanceIds: readonly InstanceId[];
}

export interface WaveSchedule {
  readonly waves: readonly Wave[];
  readonly durationMs: number;
  readonly moves: number;
  /** Part of the fleet's capacity that is missing, mean over the roll-out. */
  readonly meanMissing: number;
  /** Instances that no wave could take without breaking a budget. */
  readonly leftOut: number;
}

/** Racks of a zone that are looked at for one wave before it goes with what it has. */
const RACKS_LOOKED_AT = 64;

interface Phase {
  readonly pools: ReadonlySet<number>;
  readonly lent: ReadonlyMap<number, number>;
}

interface OpenRack {
  readonly rack: RackShape;
  readonly left: { readonly pool: number; readonly instanceIds: InstanceId[] }[];
}

export class WaveScheduler {
  private readonly waves: Wave[] = [];

  private nowMs = 0;

  private moves = 0;

  private missingMs = 0;

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
    const meanMissing = durationMs > 0 ? this.missingMs / durationMs : 0;
    return { waves, durationMs, moves, meanMissing, leftOut };
  }

  /** Instances that a pool lacks to have one of its own taken out. */
  private deficit(pool: number): number {
    const shape = this.shape.pools[pool];
    if (!shape || shape.neededInstances === 0) return 0;
    const room = shape.instances + (this.use.kept[pool] ?? 0) - shape.mostInRack - 1;
    return Math.max(0, shape.neededInstances - room);
  }

  /** Pools that need a spare go in turns, as many at once as there are spares to lend. */
  private phases(): readonly Phase[] {
    const free = new Set<number>();
    const short: { pool: number; deficit: number }[] = [];
    this.shape.pools.forEach((_, pool) => {
      const deficit = this.deficit(pool);
      if (deficit === 0) free.add(pool);
      else if (deficit <= this.use.shared) short.push({ pool, deficit });
      else this.leftOut += this.shape.pools[pool]?.instances ?? 0;
    });
    const phases: { pools: Set<number>; lent: Map<number, number> }[] = [
      { pools: free, lent: new Map() },
    ];
    let freeSpares = this.use.shared;
    short.forEach(({ pool, deficit }) => {
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
    let next = RACKS_LOOKED_AT;
    let open = waiting.slice(0, next);
    while (open.length > 0 && this.runWave(open, phase)) {
      open = open.filter((rack) => WaveScheduler.countOf(rack) > 0);
      const refilled = waiting.slice(next, next + RACKS_LOOKED_AT - open.length);
      next += refilled.length;
      open.push(...refilled);
    }
    const stuck = [...open, ...waiting.slice(next)];
    this.leftOut += stuck.reduce((sum, rack) => sum + WaveScheduler.countOf(rack), 0);
    if (lent > 0) this.nowMs += this.times.moveMs;
  }

  private static countOf({ left }: OpenRack): number {
    return left.reduce((sum, { instanceIds }) => sum + instanceIds.length, 0);
  }

  private runWave(open: readonly OpenRack[], phase: Phase): boolean {
    const out = new Map<number, number>();
    const taken: InstanceId[] = [];
    let zoneId: ZoneId | undefined;
    let racks = 0;
    for (const candidate of open) {
      if (racks >= this.use.racksAtOnce) break;
      const sameZone = zoneId === undefined || candidate.rack.zoneId === zoneId;
      const before = taken.length;
      if (sameZone) this.take(candidate, phase, out, taken);
      if (taken.length > before) {
        zoneId = candidate.rack.zoneId;
        racks += 1;
      }
    }
    if (zoneId === undefined) return false;
    this.waves.push({ startMs: this.nowMs, zoneId, instanceIds: taken });
    this.nowMs += this.times.stepMs;
    this.missingMs += this.missing(out, phase) * this.times.stepMs;
    return true;
  }

  private take(
    candidate: OpenRack,
    phase: Phase,
    out: Map<number, number>,
    taken: InstanceId[],
  ): void {
    const most = this.use.instancesAtOnce ?? Number.POSITIVE_INFINITY;
    candidate.left.forEach(({ pool, instanceIds }) => {
      const isOut = out.get(pool) ?? 0;
      const room = Math.min(this.room(pool, phase) - isOut, most - taken.length);
      const part = instanceIds.splice(0, Math.max(0, room));
      out.set(pool, isOut + part.length);
      taken.push(...part);
    });
  }

  /** How many instances of the pool may be out at once. */
  private room(pool: number, phase: Phase): number {
    const shape = this.shape.pools[pool];
    if (!shape) return 0;
    if (shape.neededInstances === 0) return shape.instances;
    const capacity = shape.instances + (this.use.kept[pool] ?? 0) + (phase.lent.get(pool) ?? 0);
    return capacity - shape.mostInRack - shape.neededInstances;
  }

  private missing(out: ReadonlyMap<number, number>, phase: Phase): number {
    let missing = 0;
    let serving = 0;
    this.shape.pools.forEach(({ neededInstances, instances }, pool) => {
      if (neededInstances === 0) return;
      serving += instances;
      const extra = (this.use.kept[pool] ?? 0) + (phase.lent.get(pool) ?? 0);
      missing += Math.max(0, (out.get(pool) ?? 0) - extra);
    });
    return serving > 0 ? missing / serving : 0;
  }
}
