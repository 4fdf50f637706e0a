/**
 * Decides which jobs to open: for leaving instances, for instances that are closed without a job,
 * for wanted moves and for the next step of the roll-out. No move or roll-out step is opened that
 * would break the budget of a pool. A leaving instance is closed in any case, as it goes away
 * whatever the budget.
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

/** Why the roll-out currently starts no further step. */
export type RollOutWait =
  /** It is paused or stopped. */
  | { readonly kind: 'not-running' }
  /** The steps in progress must end first. */
  | { readonly kind: 'wave-under-way' }
  /** The platform's instance list is missing or too old. */
  | { readonly kind: 'platform-list-stale' }
  /** A move of the roll-out is in progress, or wanted moves have not started; they come first. */
  | { readonly kind: 'moving-spares' }
  /** No step keeps the budgets, or no pending instance can start now. */
  | { readonly kind: 'blocked'; readonly shortfalls: readonly Shortfall[] };

export interface OpenerDecision {
  readonly jobs: readonly NewJob[];
  /** Wanted moves that the jobs execute or that cannot be executed. */
  readonly settledMoveIds: readonly string[];
  /** Moves that the roll-out needs next. */
  readonly wantedMoves: readonly WantedMove[];
  /**
   * Undefined if a step is opened. Without an open roll-out it is undefined too, unless the
   * platform's list is stale.
   */
  readonly wait: RollOutWait | undefined;
}

export interface OpenerInput {
  readonly document: ConfigDocument;
  readonly state: MaintenanceState;
  readonly health: FleetHealth;
  readonly demand: Demand;
  /** Creates a job id that has never been used before. */
  readonly newJobId: (purpose: string, instanceId: InstanceId) => string;
}

const STALE_LIST: RollOutWait = { kind: 'platform-list-stale' };

/** Instances that do not serve: closed, with an open job, or unhealthy. */
export function outOfService(
  document: ConfigDocument,
  jobs: readonly Job[],
  health: FleetHealth,
): Set<InstanceId> {
  const busy = new Set(jobs.map(({ instanceId }) => instanceId));
  const out = Object.entries(document.instances).filter(
    ([id, { intent }]) => intent !== 'serving' || busy.has(id) || !health.isHealthy(id),
  );
  return new Set(out.map(([id]) => id));
}

export class JobOpener {
  private readonly jobs: NewJob[] = [];

  private readonly settledMoveIds: string[] = [];

  private readonly wantedMoves: WantedMove[] = [];

  private readonly busy: Set<InstanceId>;

  private readonly budget: AvailabilityBudget;

  constructor(private readonly input: OpenerInput) {
    const open = Object.values(input.state.jobs);
    this.busy = new Set(open.map(({ instanceId }) => instanceId));
    const out = outOfService(input.document, open, input.health);
    this.budget = new AvailabilityBudget(input.document, out, input.demand);
  }

  /** Makes one decision. Use a new opener for each. */
  decide(): OpenerDecision {
    this.openLeaveJobs();
    this.openReturnJobs();
    const wait = this.input.health.isListFresh ? this.openMovesAndStep() : STALE_LIST;
    const { jobs, settledMoveIds, wantedMoves } = this;
    return { jobs, settledMoveIds, wantedMoves, wait };
  }

  private openLeaveJobs(): void {
    this.input.health.leaving().forEach((instanceId) => {
      const instance = this.input.document.instances[instanceId];
      if (instance?.intent === 'serving') this.open({ instanceId, purpose: 'leave' });
    });
  }

  /** Opens a `readmit` job for each closed instance without a job, to return it to service. */
  private openReturnJobs(): void {
    Object.entries(this.input.document.instances).forEach(([instanceId, { intent }]) => {
      if (intent === 'maintenance') this.open({ instanceId, purpose: 'readmit' });
    });
  }

  private openMovesAndStep(): RollOutWait | undefined {
    this.input.state.wantedMoves.forEach((move) => this.openMove(move));
    const { rollOut } = this.input.state;
    if (!rollOut) return undefined;
    this.returnSpares(rollOut);
    if (rollOut.status === 'done' || rollOut.status === 'aborted') return undefined;
    if (rollOut.status !== 'running') return { kind: 'not-running' };
    return this.openStep(rollOut);
  }

  /**
   * Opens the job of a wanted move, or keeps the move for later if its pool has no instance to
   * spare. A move that cannot or need not be made is settled without a job.
   */
  private openMove(move: WantedMove): void {
    const { document } = this.input;
    const instance = document.instances[move.instanceId];
    if (!instance || !document.pools[move.toPoolId] || instance.poolId === move.toPoolId) {
      this.settledMoveIds.push(move.moveId);
      return;
    }
    if (this.busy.has(move.instanceId)) return;
    this.budget.exclude(move.instanceId);
    // The return of a lent spare needs the budget to hold now, but not after a rack loss.
    const shortfall = move.moveId.startsWith('return.')
      ? this.budget.shortfallNow(instance.poolId)
      : this.budget.shortfallAfterRackLoss(instance.poolId);
    if (shortfall) {
      this.budget.include(move.instanceId);
      return;
    }
    const { instanceId, toPoolId, rollOutId } = move;
    this.open({ instanceId, toPoolId, rollOutId, purpose: 'move' });
    this.settledMoveIds.push(move.moveId);
  }

  private returnSpares(rollOut: RollOut): void {
    if (this.input.state.wantedMoves.length > 0) return;
    this.wantedMoves.push(...this.createLender().returnSpares(rollOut, this.budget));
  }

  private openStep(rollOut: RollOut): RollOutWait | undefined {
    const { document, state, health } = this.input;
    const jobs = Object.values(state.jobs).filter((job) => job.rollOutId === rollOut.rollOutId);
    if (jobs.some(({ purpose }) => purpose === 'move') || state.wantedMoves.length > 0) {
      return { kind: 'moving-spares' };
    }
    const waiting = rollOut.pending.filter(
      (id) =>
        !this.busy.has(id) && health.isHealthy(id) && document.instances[id]?.intent === 'serving',
    );
    const loans = this.createLender().lend(rollOut, this.persistentShortfalls(waiting));
    if (loans.length > 0) {
      this.wantedMoves.push(...loans);
      return { kind: 'moving-spares' };
    }
    // A failed job is open until an operator readmits its instance, but it is not in progress.
    const underWay = jobs.filter(({ state: at }) => at !== 'failed').map((job) => job.instanceId);
    const { racksAtOnce, rollOutId } = rollOut;
    const step = new RollOutPlanner(document).next({ waiting, underWay, racksAtOnce }, this.budget);
    if (step.kind === 'step') {
      step.instanceIds.forEach((id) => this.open({ instanceId: id, rollOutId, purpose: 'reboot' }));
      return undefined;
    }
    if (step.kind === 'wave-under-way') return step;
    // Pending instances are left, but none can start now: each is closed, unhealthy, busy with a
    // failed or other job, or no longer in the configuration.
    if (step.kind === 'nothing-left') return { kind: 'blocked', shortfalls: [] };
    const moves = this.createLender().lend(rollOut, step.shortfalls);
    this.wantedMoves.push(...moves);
    return moves.length > 0 ? { kind: 'moving-spares' } : step;
  }

  /**
   * Shortfalls of pools that could not spare an instance even if all jobs in progress had ended, so
   * that waiting for those jobs would not help.
   */
  private persistentShortfalls(waiting: readonly InstanceId[]): readonly Shortfall[] {
    const { document, health, demand } = this.input;
    const down = Object.entries(document.instances).filter(
      ([id, { intent }]) => intent === 'draining' || !health.isHealthy(id),
    );
    const budget = new AvailabilityBudget(document, new Set(down.map(([id]) => id)), demand);
    const shortfalls = new Map<string, Shortfall>();
    waiting.forEach((instanceId) => {
      const poolId = document.instances[instanceId]?.poolId ?? '';
      if (shortfalls.has(poolId)) return;
      budget.exclude(instanceId);
      const shortfall = budget.shortfallAfterRackLoss(poolId);
      budget.include(instanceId);
      if (shortfall) shortfalls.set(poolId, shortfall);
    });
    return [...shortfalls.values()];
  }

  private createLender(): SpareLender {
    return new SpareLender(
      this.input.document,
      (id) => !this.busy.has(id) && this.input.health.isHealthy(id),
    );
  }

  /** Opens a job, unless its instance has one. The instance no longer counts towards its pool. */
  private open(job: Omit<NewJob, 'jobId'>): void {
    if (this.busy.has(job.instanceId)) return;
    this.busy.add(job.instanceId);
    this.budget.exclude(job.instanceId);
    this.jobs.push({ ...job, jobId: this.input.newJobId(job.purpose, job.instanceId) });
  }
}
