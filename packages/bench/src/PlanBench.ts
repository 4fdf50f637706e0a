/**
 * Measures the planning of spares: the chosen plan of both deployment profiles compared with fixed
 * baselines, whether bursts of a few seconds change the plan, and the planning time at the stated
 * size, where every instance has to be maintained within two weeks.
 */
import { ManualClock, Random } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { DemandSmoother, type SparePlan, SparePlanner } from '@acaciadock/maintenance';
import { DEPLOYMENT_TARGETS, deploymentDocument, type DeploymentName } from '@acaciadock/scenarios';
import { Bench, type BenchOptions, type BenchResult, type Bound, checkBound } from './Bench.js';
import { LARGE_INSTANCES, largeDocument } from './plan/largeDocument.js';
import { checkSchedule } from './plan/ScheduleCheck.js';

const PROFILES: readonly DeploymentName[] = ['bondwright', 'nha-an'];
const TWO_WEEKS_MS = 14 * 24 * 60 * 60 * 1_000;
/** The shortest time between two plans; a plan must be ready well within it. */
const MAX_PLANNING_MS = 60_000;
const MEAN_BUSY_RATIO = 0.3;
const SLOTS = 8;
const OBSERVE_PERIOD_MS = 500;
const BURST_MS = 5_000;
const BURST_FACTOR = 5;
const QUIET_FACTOR = 0.05;
const WARM_UP_MS = 3_600_000;
const MEASURED_MS = 3_600_000;
const REPLAN_MS = 60_000;

function targetsWithAddresses(count: number): { instanceId: string; address: string }[] {
  return Array.from({ length: count }, (_, index) => ({
    instanceId: `t${String(index).padStart(2, '0')}`,
    address: '127.0.0.1:1',
  }));
}

export class PlanBench extends Bench {
  override readonly name = 'plan';

  override readonly summary = 'spare planning against fixed buffers, under bursts, at full size';

  override async run({ seed }: BenchOptions): Promise<BenchResult> {
    const profiles = PROFILES.flatMap((name) => this.checkProfile(name));
    const burstBounds = PROFILES.map((name) => PlanBench.checkPlanChanges(name));
    return { bounds: [...profiles, ...burstBounds, ...this.checkFullSize(seed)] };
  }

  private static document(name: DeploymentName): ConfigDocument {
    return deploymentDocument(name, targetsWithAddresses(DEPLOYMENT_TARGETS)).document;
  }

  private checkProfile(name: DeploymentName): Bound[] {
    const document = PlanBench.document(name);
    const { chosen, baselines, reasons } = new SparePlanner(document, new Map()).choose();
    this.describe(`${name} chosen`, chosen);
    reasons.forEach((reason) => this.note(`${name}: ${reason}`));
    const faults = checkSchedule(document, chosen);
    const bounds = [
      checkBound(`${name}: budget breaches`, faults.budgetBreaches, 'count', 'exactly', 0),
      checkBound(`${name}: instances missed`, faults.missed, 'count', 'exactly', 0),
    ];
    Object.entries(baselines).forEach(([baseline, plan]) => {
      this.describe(`${name} ${baseline}`, plan);
      const ratio = chosen.cost / plan.cost;
      bounds.push(checkBound(`${name}: cost beside ${baseline}`, ratio, 'ratio', 'at-most', 1));
    });
    return bounds;
  }

  private describe(title: string, plan: SparePlan): void {
    const { bufferCost, rollOutTime, moves, shareError } = plan.measures;
    const figures = [bufferCost, rollOutTime, moves, shareError, plan.cost];
    const [buffer, time, moved, share, cost] = figures.map((figure) => figure.toFixed(3));
    this.note(
      `${title}: buffer ${buffer} (${plan.bufferInstances}), time ${time}, moves ${moved}, ` +
        `share error ${share}, weighted ${cost}, left out ${plan.schedule.leftOut}`,
    );
  }

  /**
   * Checks that all plans of an hour are the same, under a load that alternates between five times
   * the mean for some seconds and a twentieth of it.
   */
  private static checkPlanChanges(name: DeploymentName): Bound {
    const document = PlanBench.document(name);
    const clock = new ManualClock();
    const smoother = new DemandSmoother(clock);
    // With this length of the cycle, the mean of the load factors over a cycle is 1.
    const cycleMs = (BURST_MS * (BURST_FACTOR - QUIET_FACTOR)) / (1 - QUIET_FACTOR);
    const instances = Object.values(document.instances);
    const plans = new Set<string>();
    let nextPlanMs = WARM_UP_MS;
    while (clock.monotonicMs() < WARM_UP_MS + MEASURED_MS) {
      clock.advance(OBSERVE_PERIOD_MS);
      Object.entries(document.services).forEach(([serviceId, { poolId }], index) => {
        const size = instances.filter((instance) => instance.poolId === poolId).length;
        const atMs = (clock.monotonicMs() + (index * cycleMs) / 5) % cycleMs;
        const factor = atMs < BURST_MS ? BURST_FACTOR : QUIET_FACTOR;
        const demand = size * SLOTS * MEAN_BUSY_RATIO * factor;
        smoother.observe(serviceId, Math.min(demand, size * SLOTS));
      });
      if (clock.monotonicMs() >= nextPlanMs) {
        nextPlanMs += REPLAN_MS;
        const { chosen } = new SparePlanner(document, smoother.demand()).choose();
        plans.add(JSON.stringify(chosen.use));
      }
    }
    const changes = plans.size - 1;
    return checkBound(`${name}: plan changes by bursts`, changes, 'count', 'exactly', 0);
  }

  private checkFullSize(seed: number): Bound[] {
    const document = largeDocument(new Random(seed));
    const startMs = performance.now();
    const { chosen, reasons } = new SparePlanner(document, new Map()).choose();
    const planningMs = performance.now() - startMs;
    this.describe('full size', chosen);
    reasons.forEach((reason) => this.note(`full size: ${reason}`));
    const faults = checkSchedule(document, chosen);
    const { durationMs } = chosen.schedule;
    const maintained = LARGE_INSTANCES - faults.missed;
    return [
      checkBound('full size: planning time', planningMs, 'ms', 'at-most', MAX_PLANNING_MS),
      checkBound('full size: roll-out', durationMs, 'ms', 'at-most', TWO_WEEKS_MS),
      checkBound('full size: maintained', maintained, 'count', 'exactly', LARGE_INSTANCES),
      checkBound('full size: taken twice', faults.repeated, 'count', 'exactly', 0),
      checkBound('full size: budget breaches', faults.budgetBreaches, 'count', 'exactly', 0),
    ];
  }
}
