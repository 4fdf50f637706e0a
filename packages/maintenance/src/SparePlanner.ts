/**
 * Chooses the spare buffer, the moves and the number of racks per wave with the lowest cost under
 * the weights of the configuration. There are few candidates and each gets a full schedule, so the
 * chosen plan can be compared with the baselines.
 */
import { type ConfigDocument, type PolicyWeights } from '@acaciadock/config';
import { type Demand } from './AvailabilityBudget.js';
import { type FleetShape, fleetShape } from './FleetShape.js';
import {
  type SpareUse,
  type StepTimes,
  type WaveSchedule,
  WaveScheduler,
} from './WaveScheduler.js';

/** The measures that make up the cost of a plan, each normalized by the fleet or the worst case. */
export interface PlanMeasures {
  /** Buffer instances per instance of the fleet. */
  readonly bufferCost: number;
  /** Duration of the roll-out relative to one instance at a time. */
  readonly rollOutTime: number;
  /** Moves per instance of the fleet in one roll-out. */
  readonly moves: number;
  /** Mean fraction of the service pools' capacity that is missing during the roll-out. */
  readonly shareError: number;
}

export interface SparePlan {
  readonly use: SpareUse;
  /** Permanent and lendable spares together. */
  readonly bufferInstances: number;
  /** Spare instances that the plan needs in addition to the existing ones. */
  readonly instancesToAdd: number;
  readonly schedule: WaveSchedule;
  readonly measures: PlanMeasures;
  /** Weighted sum of the measures. */
  readonly cost: number;
  readonly isFeasible: boolean;
}

export interface PlanChoice {
  readonly chosen: SparePlan;
  /** Fixed strategies, for comparison. */
  readonly baselines: Readonly<Record<BaselineName, SparePlan>>;
  readonly reasons: readonly string[];
}

export type BaselineName = 'no-buffer' | 'fixed-20-percent' | 'one-at-a-time';

export const DEFAULT_STEP_TIMES: StepTimes = {
  stepMs: 15 * 60 * 1_000,
  moveMs: 2 * 60 * 1_000,
};

const RACKS_AT_ONCE = [1, 2, 3, 4, 6, 8, 12, 16, 24, 32];
/** Numbers of permanent spares for each pool that are considered. */
const KEPT_PER_POOL = [0, 1, 2];
const FIXED_BUFFER_RATIO = 0.2;

export class SparePlanner {
  private readonly shape: FleetShape;

  private readonly weights: PolicyWeights;

  private readonly periodMs: number;

  constructor(
    document: ConfigDocument,
    demand: Demand,
    private readonly times: StepTimes = DEFAULT_STEP_TIMES,
  ) {
    this.shape = fleetShape(document, demand);
    this.weights = document.policy.weights;
    this.periodMs = document.policy.maintenancePeriodMs;
  }

  /** The feasible plan with the lowest cost, together with the baselines. */
  choose(): PlanChoice {
    const baselines = this.baselines();
    const candidates = this.candidates().map((use) => this.evaluate(use));
    const plans = [...candidates, ...Object.values(baselines)];
    const feasible = plans.filter(({ isFeasible }) => isFeasible);
    const [first, ...others] = feasible.length > 0 ? feasible : plans;
    if (!first) throw new RangeError('no candidate plans to choose from');
    const chosen = others.reduce((best, plan) => (plan.cost < best.cost ? plan : best), first);
    return { chosen, baselines, reasons: SparePlanner.reasons(chosen, feasible) };
  }

  /** Schedules a roll-out with the given use of spare capacity and computes its cost. */
  evaluate(use: SpareUse): SparePlan {
    const schedule = new WaveScheduler(this.shape, use, this.times).schedule();
    const { totalInstances, spareInstances } = this.shape;
    const bufferInstances = use.shared + use.kept.reduce((sum, count) => sum + count, 0);
    const sequentialMs = Math.max(1, totalInstances * this.times.stepMs);
    // Instances left out are never maintained. Each counts as a step of its own, the slowest way.
    const durationMs = schedule.durationMs + schedule.leftOut * this.times.stepMs;
    const measures: PlanMeasures = {
      bufferCost: bufferInstances / totalInstances,
      rollOutTime: Math.min(1, durationMs / sequentialMs),
      moves: schedule.moves / totalInstances,
      shareError: schedule.meanMissing,
    };
    const { weights } = this;
    const cost =
      weights.bufferCost * measures.bufferCost +
      weights.rollOutTime * measures.rollOutTime +
      weights.moves * measures.moves +
      weights.shareError * measures.shareError;
    return {
      use,
      bufferInstances,
      instancesToAdd: Math.max(0, bufferInstances - spareInstances),
      schedule,
      measures,
      cost,
      isFeasible: schedule.leftOut === 0 && schedule.durationMs <= this.periodMs,
    };
  }

  private candidates(): readonly SpareUse[] {
    const widths = RACKS_AT_ONCE.filter((width) => width === 1 || width <= this.shape.racks.length);
    return widths.flatMap((racksAtOnce) =>
      KEPT_PER_POOL.flatMap((perPool) => this.spareUses(racksAtOnce, perPool)),
    );
  }

  /**
   * Candidates that keep `perPool` permanent spares in each pool with a need. The deficits that
   * remain are covered by lending different numbers of spares in turn or, in the last candidate, by
   * more permanent spares.
   */
  private spareUses(racksAtOnce: number, perPool: number): readonly SpareUse[] {
    const kept = this.shape.pools.map(({ neededInstances }) => (neededInstances > 0 ? perPool : 0));
    const deficits = this.shape.pools.map((pool, index) => {
      // With one instance out of service and the largest rack of the pool lost.
      const capacityDuringStep = pool.instances + (kept[index] ?? 0) - pool.maxInRack - 1;
      return pool.neededInstances === 0
        ? 0
        : Math.max(0, pool.neededInstances - capacityDuringStep);
    });
    const total = deficits.reduce((sum, deficit) => sum + deficit, 0);
    const minShared = Math.max(0, ...deficits);
    const sharedCounts = new Set([minShared, Math.ceil((minShared + total) / 2), total]);
    const lent = [...sharedCounts].map((shared) => ({ racksAtOnce, kept, shared }));
    const keptWithDeficits = kept.map((count, index) => count + (deficits[index] ?? 0));
    return [...lent, { racksAtOnce, kept: keptWithDeficits, shared: 0 }];
  }

  private baselines(): PlanChoice['baselines'] {
    const kept = this.shape.pools.map(() => 0);
    const fixed = Math.ceil(FIXED_BUFFER_RATIO * this.shape.totalInstances);
    return {
      'no-buffer': this.evaluate({ racksAtOnce: 1, kept, shared: 0 }),
      'fixed-20-percent': this.evaluate({ racksAtOnce: 1, kept, shared: fixed }),
      'one-at-a-time': this.evaluate({
        racksAtOnce: 1,
        instancesAtOnce: 1,
        kept,
        shared: this.shape.spareInstances,
      }),
    };
  }

  private static reasons(chosen: SparePlan, feasible: readonly SparePlan[]): readonly string[] {
    const { use, schedule } = chosen;
    const kept = use.kept.reduce((sum, count) => sum + count, 0);
    const reasons = [
      `${feasible.length} of the ways looked at maintain every instance within the period`,
      `${kept} instances stay in their pools as spare capacity, ${use.shared} are lent in turn`,
      `${use.racksAtOnce} racks at once take ${schedule.waves.length} waves`,
    ];
    if (schedule.leftOut > 0) {
      reasons.push(`${schedule.leftOut} instances can't be taken out without breaking a budget`);
    }
    if (chosen.instancesToAdd > 0) {
      reasons.push(`${chosen.instancesToAdd} more spare instances are needed than there are`);
    }
    return reasons;
  }
}
