/**
 * Which jobs to open now: instances that leave, instances found closed without a job, wanted
 * moves, and the next step of the roll-out. Nothing is opened that would break a pool's budget,
 * except for an instance that leaves: it goes anyway.
 */
import { type InstanceId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { AvailabilityBudget, type Demand, type Shortfall } from './AvailabilityBudget.js';
import { type FleetHealth } from './FleetHealth.js';
import { type NewJob } from './MaintenanceRecord.js';
import {
  type Job,
  type MaintenanceState,
  type RollOut,
  type WantedMove,
} from './MaintenanceState.js';
import { RollOutPlanner } from './RollOutPlanner.js';
import { SpareLender } from './SpareLender.js';

/** Why the roll-out does not go on just now. */
export type RollOutWait =
  | { readonly kind: 'not-running' }
  | { readonly kind: 'wave-under-way' }
  | { readonly kind: 'platform-list-stale' }
  | { readonly kind: 'moving-spares' }
  | { readonly kind: 'blocked'; readonly shortfalls: readonly Shortfall[] };

export interface Opening {
  readonly jobs: readonly NewJob[];
  readonly settledMoveIds: readonly string[];
  readonly wantedMoves: readonly WantedMove[];
  readonly wait: RollOutWait | undefined;
}

export interface OpenerView {
  readonly document: ConfigDocument;
  readonly state: MaintenanceState;
  readonly health: FleetHealth;
  readonly demand: Demand;
  /** Makes a job id that was never used before. */
  readonly newJobId: (purpose: string, instanceId: InstanceId) => string;
}

const STALE_LIST: RollOutWait = { kind: 'platform-list-stale' };

/** Instances that don't serve: closed, under way, or believed down. */
export function outOfService(
  document: ConfigDocument,
  jobs: readonly Job[],
  health: FleetHealth,
): Set<InstanceId> {
  const busy = new Set(jobs.map(({ instanceId }) => instanceId));
  const out = Object.entries(document.instances).filter(
    ([id, { intent }]) => intent !== 'serving' || busy.has(id) || !health.isUp(id),
  );
  return new Set(out.map(([id]) => id));
}

export class JobOpener {
  private readonly jobs: NewJob[] = [];

  private readonly settledMoveIds: string[] = [];

  private readonly wantedMoves: WantedMove[] = [];

  private readonly busy: Set<InstanceId>;

  private readonly budget: AvailabilityBudget;

  constructor(private readonly view: OpenerView) {
    const open = Object.values(view.state.jobs);
    this.busy = new Set(open.map(({ instanceId }) => instanceId));
    const out = outOfService(view.document, open, view.health);
    this.budget = new AvailabilityBudget(view.document, out, view.demand);
  }

  /** One decision; an opener is used once. */
  decide(): Opening {
    this.openLeaving();
    this.openClosedWithoutJob();
    const wait = this.view.health.isListFresh ? this.openSteps() : STALE_LIST;
    const { jobs, settledMoveIds, wantedMoves } = this;
    return { jobs, settledMoveIds, wantedMoves, wait };
  }

  private openLeaving(): void {
    this.view.health.leaving().forEach((instanceId) => {
      const instance = this.view.document.instances[instanceId];
      if (instance?.intent === 'serving') this.open({ instanceId, purpose: 'leave' });
    });
  }

  private openClosedWithoutJob(): void {
    Object.entries(this.view.document.instances).forEach(([instanceId, { intent }]) => {
      if (intent === 'maintenance') this.open({ instanceId, purpose: 'readmit' });
    });
  }

  private openSteps(): RollOutWait | undefined {
    this.view.state.wantedMoves.forEach((move) => this.openMove(move));
    const { rollOut } = this.view.state;
    if (!rollOut) return undefined;
    this.giveBack(rollOut);
    if (rollOut.status === 'done' || rollOut.status === 'aborted') return undefined;
    if (rollOut.status !== 'running') return { kind: 'not-running' };
    return this.openStep(rollOut);
  }

  private openMove(move: WantedMove): void {
    const { document } = this.view;
    const instance = document.instances[move.instanceId];
    if (!instance || !document.pools[move.toPoolId] || instance.poolId === move.toPoolId) {
      this.settledMoveIds.push(move.moveId);
      return;
    }
    if (this.busy.has(move.instanceId)) return;
    this.budget.takeOut(move.instanceId);
    const shortfall = move.moveId.startsWith('return.')
      ? this.budget.shortfallNow(instance.poolId)
      : this.budget.shortfallAfterRackLoss(instance.poolId);
    if (shortfall) {
      this.budget.putBack(move.instanceId);
      return;
    }
    const { instanceId, toPoolId, rollOutId } = move;
    this.open({ instanceId, toPoolId, rollOutId, purpose: 'move' });
    this.settledMoveIds.push(move.moveId);
  }

  private giveBack(rollOut: RollOut): void {
    if (this.view.state.wantedMoves.length > 0) return;
    this.wantedMoves.push(...this.lender().giveBack(rollOut, this.budget));
  }

  private openStep(rollOut: RollOut): RollOutWait | undefined {
    const { document, state, health } = this.view;
    const jobs = Object.values(state.jobs).filter((job) => job.rollOutId === rollOut.rollOutId);
    if (jobs.some(({ purpose }) => purpose === 'move') || state.wantedMoves.length > 0) {
      return { kind: 'moving-spares' };
    }
    const waiting = rollOut.pending.filter(
      (id) => !this.busy.has(id) && health.isUp(id) && document.instances[id]?.intent === 'serving',
    );
    const lending = this.lender().lend(rollOut, this.lastingShortfalls(waiting));
    if (lending.length > 0) {
      this.wantedMoves.push(...lending);
      return { kind: 'moving-spares' };
    }
    const underWay = jobs.filter(({ state: at }) => at !== 'failed').map((job) => job.instanceId);
    const { racksAtOnce, rollOutId } = rollOut;
    const step = new RollOutPlanner(document).next({ waiting, underWay, racksAtOnce }, this.budget);
    if (step.kind === 'step') {
      step.instanceIds.forEach((id) => this.open({ instanceId: id, rollOutId, purpose: 'reboot' }));
      return undefined;
    }
    if (step.kind === 'wave-under-way') return step;
    if (step.kind === 'nothing-left') return { kind: 'blocked', shortfalls: [] };
    const moves = this.lender().lend(rollOut, step.shortfalls);
    this.wantedMoves.push(...moves);
    return moves.length > 0 ? { kind: 'moving-spares' } : step;
  }

  /**
   * Pools of which some instance could not be taken out even if all others served: waiting for
   * steps under way would not help them.
   */
  private lastingShortfalls(waiting: readonly InstanceId[]): readonly Shortfall[] {
    const { document, health, demand } = this.view;
    const down = Object.entries(document.instances).filter(
      ([id, { intent }]) => intent === 'draining' || !health.isUp(id),
    );
    const budget = new AvailabilityBudget(document, new Set(down.map(([id]) => id)), demand);
    const shortfalls = new Map<string, Shortfall>();
    waiting.forEach((instanceId) => {
      const poolId = document.instances[instanceId]?.poolId ?? '';
      if (shortfalls.has(poolId)) return;
      budget.takeOut(instanceId);
      const shortfall = budget.shortfallAfterRackLoss(poolId);
      budget.putBack(instanceId);
      if (shortfall) shortfalls.set(poolId, shortfall);
    });
    return [...shortfalls.values()];
  }

  private lender(): SpareLender {
    return new SpareLender(
      this.view.document,
      (id) => !this.busy.has(id) && this.view.health.isUp(id),
    );
  }

  private open(job: Omit<NewJob, 'jobId'>): void {
    if (this.busy.has(job.instanceId)) return;
    this.busy.add(job.instanceId);
    this.budget.takeOut(job.instanceId);
    this.jobs.push({ ...job, jobId: this.view.newJobId(job.purpose, job.instanceId) });
  }
}
