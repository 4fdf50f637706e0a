/**
 * Gives room to waiting tasks, pool by pool: in the order of urgency, on the target that the
 * chooser names, within the team's limit, gangs all at once. A pass looks only at pools in which
 * something has changed.
 */
import { type Clock, Disposable, EventEmitter, type IDisposable } from '@acaciadock/core';
import {
  type JobsConfigView,
  longestChainMs,
  type Occurrence,
  type StepState,
  type TaskState,
} from '@acaciadock/jobs';
import {
  ArrivalMeter,
  QueueOrder,
  type RuntimeEstimates,
  TargetChooser,
  type WaitingStep,
} from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { type HealthWatch } from './HealthWatch.js';
import { type JobEntry } from './JobEntry.js';
import { type JobTable } from './JobTable.js';
import { type LiveRun } from './LiveRun.js';
import { type Ownership } from './Ownership.js';
import { type RunBook } from './RunBook.js';
import { type TargetTable } from './TargetTable.js';
import { type TeamUsage } from './TeamUsage.js';
import { type TicketBook } from './TicketBook.js';

/** Changes of this span share a pass, in milliseconds. */
const PASS_DELAY_MS = 2;

/** Between two passes that nothing has asked for, in milliseconds: pauses and tickets expire. */
const REGULAR_PASS_MS = 100;

/** Whether a step's waiting tasks got room, and if not, why. */
type PlaceOutcome = 'placed' | 'no-room' | 'team-limit';

export interface OpenStep extends WaitingStep {
  readonly entry: JobEntry;
  readonly occurrence: Occurrence;
  readonly step: StepState;
}

export interface JobSchedulerDeps {
  readonly jobs: JobTable;
  readonly targets: TargetTable;
  readonly usage: TeamUsage;
  readonly book: RunBook;
  readonly estimates: RuntimeEstimates;
  readonly tickets: TicketBook;
  readonly health: HealthWatch;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly config: () => JobsConfigView;
}

export class JobScheduler extends Disposable {
  private readonly dirtyPools = new Set<string>();

  private passTimer: IDisposable | undefined;

  private readonly placedEmitter = this.register(new EventEmitter<LiveRun>());

  /** Fires when a planned run is durable and its order may leave. */
  readonly onPlaced = this.placedEmitter.event;

  private readonly arrivals = new Map<string, ArrivalMeter>();

  /** Steps that the pool had no room for in the last pass; a team at its limit is not among them. */
  private readonly waitingByPool = new Map<string, readonly OpenStep[]>();

  constructor(private readonly deps: JobSchedulerDeps) {
    super();
    this.register(deps.clock.every(REGULAR_PASS_MS, () => this.wakeAll()));
    this.register({ dispose: () => this.passTimer?.dispose() });
  }

  /** Notes a job that has just been accepted. */
  noteArrival(entry: JobEntry): void {
    const { queueId, spec } = entry.job.definition;
    const cpuMilliMs = spec.steps
      .filter((step) => !step.longRunning)
      .reduce((sum, step) => {
        const runtimeMs = this.deps.estimates.meanMs(queueId, step.estimatedRuntimeMs);
        return sum + step.taskCount * step.cpuMilli * runtimeMs;
      }, 0);
    const poolId = this.poolOf(entry);
    const meter = this.arrivals.get(poolId) ?? new ArrivalMeter();
    this.arrivals.set(poolId, meter);
    meter.note(cpuMilliMs, this.deps.clock.monotonicMs());
  }

  /** Processor that keeps up with what arrives at the pool, thousandths of a core. */
  arrivingCpuMilli(poolId: string): number {
    return this.arrivals.get(poolId)?.cpuMilli(this.deps.clock.monotonicMs()) ?? 0;
  }

  /** Processor that the pool's waiting tasks ask for, thousandths of a core. */
  waitingCpuMilli(poolId: string): number {
    const waiting = this.waitingByPool.get(poolId) ?? [];
    return waiting.reduce((sum, { step }) => {
      if (step.spec.filler) return sum;
      return sum + step.spec.cpuMilli * step.waitingTasks.length;
    }, 0);
  }

  /** Whether tasks that last wait for room in the pool. */
  hasServingWaiting(poolId: string): boolean {
    return (this.waitingByPool.get(poolId) ?? []).some((open) => open.isLongRunning);
  }

  /** Asks for a pass over the pool. */
  wake(poolId: string): void {
    this.dirtyPools.add(poolId);
    this.passTimer ??= this.deps.clock.after(PASS_DELAY_MS, () => this.runPass());
  }

  wakeAll(): void {
    this.deps.config().config.pools.forEach((pool) => this.wake(pool.poolId));
  }

  /** The pool that runs the job now: its queue's, or the one it was accepted for. */
  poolOf({ job }: JobEntry): string {
    const { queueId, poolId } = job.definition;
    return this.deps.config().queue(queueId)?.poolId ?? poolId;
  }

  /** When the whole job should have ended, milliseconds after its acceptance. */
  objectiveMsOf({ job }: JobEntry): number {
    const { stretch, targetLatencyMs, queueId, spec } = job.definition;
    const chainMs = longestChainMs(spec.steps, (step) =>
      this.deps.estimates.meanMs(queueId, step.estimatedRuntimeMs),
    );
    return stretch * chainMs + targetLatencyMs;
  }

  private runPass(): void {
    this.passTimer = undefined;
    const { ownership } = this.deps;
    if (this.isDisposed || !ownership.isActive || !ownership.isStoreResponsive) return;
    const pools = new Set(this.dirtyPools);
    this.dirtyPools.clear();
    const stepsByPool = this.collect(pools);
    pools.forEach((poolId) => this.placePool(poolId, stepsByPool.get(poolId) ?? []));
  }

  private collect(pools: ReadonlySet<string>): Map<string, OpenStep[]> {
    const byPool = new Map<string, OpenStep[]>();
    const nowMs = this.deps.clock.monotonicMs();
    for (const entry of this.deps.jobs.activeJobs) {
      const poolId = this.poolOf(entry);
      if (!pools.has(poolId)) continue;
      const steps = byPool.get(poolId) ?? [];
      this.collectJob(entry, nowMs, steps);
      byPool.set(poolId, steps);
    }
    return byPool;
  }

  private collectJob(entry: JobEntry, nowMs: number, into: OpenStep[]): void {
    for (const occurrence of entry.job.occurrences.values()) {
      for (const step of occurrence.openSteps) {
        const isWaiting = step.tasks.some((task) => task.isWaiting && task.notBeforeMs <= nowMs);
        if (isWaiting) into.push(this.describe(entry, occurrence, step));
      }
    }
  }

  private describe(entry: JobEntry, occurrence: Occurrence, step: StepState): OpenStep {
    const { definition } = entry.job;
    const objectiveMs = this.objectiveMsOf(entry);
    const remainingMs = longestChainMs(definition.spec.steps, (spec, index) =>
      occurrence.steps[index]?.isDone
        ? 0
        : this.deps.estimates.meanMs(definition.queueId, spec.estimatedRuntimeMs),
    );
    return {
      entry,
      occurrence,
      step,
      priority: this.deps.config().queue(definition.queueId)?.priority ?? definition.priority,
      isLongRunning: step.spec.longRunning,
      objectiveMs,
      objectiveUnixMs: occurrence.dueUnixMs + objectiveMs,
      remainingMs,
      isBeyondShare: definition.isBeyondShare,
    };
  }

  private placePool(poolId: string, steps: readonly OpenStep[]): void {
    const { clock, targets } = this.deps;
    const nowMs = clock.monotonicMs();
    const open = this.deps.health
      .usable(targets.ofPool(poolId))
      .filter((target) => target.isOpen(nowMs));
    const ordered = QueueOrder.sort(steps, clock.unixMs());
    const blocked = ordered.filter((step) => this.placeStep(step, open) === 'no-room');
    this.waitingByPool.set(poolId, blocked);
  }

  private placeStep(open: OpenStep, targets: readonly FleetTarget[]): PlaceOutcome {
    if (open.step.spec.gang) return this.placeGang(open, targets);
    const nowMs = this.deps.clock.monotonicMs();
    for (const task of open.step.tasks) {
      if (!task.isWaiting || task.notBeforeMs > nowMs) continue;
      const outcome = this.placeTask(open, task, targets);
      if (outcome !== 'placed') return outcome;
    }
    return 'placed';
  }

  private placeTask(
    open: OpenStep,
    task: TaskState,
    targets: readonly FleetTarget[],
  ): PlaceOutcome {
    if (!this.teamAllows(open, 1)) return 'team-limit';
    const target = this.choose(open, task, targets, '');
    if (!target) return 'no-room';
    this.plan(open, task, target);
    return 'placed';
  }

  private teamAllows({ entry, step }: OpenStep, taskCount: number): boolean {
    const { teamId } = entry.job.definition;
    const limit = this.deps.config().team(teamId)?.limit;
    return this.deps.usage.allows(teamId, step.spec, limit, taskCount);
  }

  private choose(
    open: OpenStep,
    task: TaskState,
    targets: readonly FleetTarget[],
    onlyRackId: string,
  ): FleetTarget | undefined {
    const wish = {
      step: open.step.spec,
      stepId: open.step.stepId,
      avoidTargetId: task.avoidTargetId,
      onlyRackId,
    };
    const advice = this.deps.config().queue(open.entry.job.definition.queueId)?.advice;
    if (!advice) return TargetChooser.choose(targets, wish);
    const roomy = targets.filter((target) => TargetChooser.fits(target, wish));
    const allowed = this.deps.tickets.allowed(open.step.stepId, roomy);
    if (allowed.length === 0) {
      this.deps.tickets.request(open.step.stepId, roomy);
      return undefined;
    }
    return TargetChooser.choose(allowed, wish);
  }

  private plan(open: OpenStep, task: TaskState, target: FleetTarget): LiveRun {
    const { entry, occurrence, step } = open;
    const place = { job: entry.job, occurrence, step, task };
    const live = this.deps.book.plan(place, target);
    live.ticket = this.deps.tickets.ticketFor(step.stepId, target);
    void this.deps.book.journal(place).then((outcome) => {
      if (outcome === 'durable') this.placedEmitter.fire(live);
    });
    return live;
  }

  /** All members or none, with one run number and one checkpoint. */
  private placeGang(open: OpenStep, targets: readonly FleetTarget[]): PlaceOutcome {
    const { step } = open;
    if (!step.tasks.every((task) => task.isWaiting)) return 'placed';
    if (!this.teamAllows(open, step.tasks.length)) return 'team-limit';
    const racks = step.spec.sameRack ? [...new Set(targets.map((target) => target.rackId))] : [''];
    const isPlaced = racks.some((rackId) => this.placeGangIn(open, targets, rackId));
    return isPlaced ? 'placed' : 'no-room';
  }

  private placeGangIn(open: OpenStep, targets: readonly FleetTarget[], rackId: string): boolean {
    const { step } = open;
    const lastRun = Math.max(...step.tasks.map((task) => task.lastRun));
    const checkpoint =
      step.tasks
        .map((task) => task.checkpoint)
        .sort()
        .at(-1) ?? '';
    const placed: LiveRun[] = [];
    for (const task of step.tasks) {
      const target = this.choose(open, task, targets, rackId);
      if (!target) {
        placed.forEach((live) => this.deps.book.stop(live));
        return false;
      }
      Object.assign(task, { lastRun, checkpoint });
      placed.push(this.plan(open, task, target));
    }
    return true;
  }
}
