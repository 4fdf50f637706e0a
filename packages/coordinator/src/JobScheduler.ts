/**
 * Gives room to waiting tasks, pool by pool: in the order of urgency, on the target that the
 * chooser names, within the team's limit, gangs all at once. A pass looks only at pools in which
 * something has changed.
 */
import {
  type Clock,
  Disposable,
  EventEmitter,
  type IDisposable,
  type Logger,
} from '@acaciadock/core';
import {
  type AdviceRule,
  type JobsConfigView,
  longestChainMs,
  type Occurrence,
  type StepState,
  type TaskState,
} from '@acaciadock/jobs';
import {
  ArrivalMeter,
  QueueOrder,
  RoomBound,
  type RuntimeEstimates,
  TargetChooser,
  type Urgency,
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

/** A description of a waiting step is used this long, in milliseconds: estimates move slowly. */
const DESCRIPTION_MS = 250;

/** Between two passes that nothing has asked for, in milliseconds: pauses and tickets expire. */
const REGULAR_PASS_MS = 100;

/** Over which time waiting work may be spread, in milliseconds: its answer is worth little later. */
const SPREAD_MS: Record<Urgency, number> = {
  'in-time': 0,
  late: 3_000,
  'beyond-share': 3_000,
  worthless: 10_000,
};

/** Whether a step's waiting tasks got room, and if not, why. */
type PlaceOutcome = 'placed' | 'no-room' | 'team-limit';

export interface OpenStep extends WaitingStep {
  readonly entry: JobEntry;
  readonly occurrence: Occurrence;
  readonly step: StepState;
}

interface Description {
  readonly atMs: number;
  readonly open: OpenStep;
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
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
}

export class JobScheduler extends Disposable {
  private readonly dirtyPools = new Set<string>();

  private passTimer: IDisposable | undefined;

  private readonly placedEmitter = this.register(new EventEmitter<LiveRun>());

  /** Fires when a planned run is durable and its order may leave. */
  readonly onPlaced = this.placedEmitter.event;

  private readonly arrivals = new Map<string, ArrivalMeter>();

  private readonly descriptions = new WeakMap<StepState, Description>();

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

  /**
   * Processor that the pool needs for its waiting tasks, thousandths of a core. What can still be
   * in time is wanted at once; what is late can wait its turn, so it needs fewer cores for longer.
   */
  neededCpuMilli(poolId: string): number {
    const waiting = this.waitingByPool.get(poolId) ?? [];
    const nowUnixMs = this.deps.clock.unixMs();
    return waiting.reduce((sum, open) => {
      const { spec } = open.step;
      if (spec.filler) return sum;
      const cpuMilli = spec.cpuMilli * open.step.waitingTasks.length;
      const spreadMs = SPREAD_MS[QueueOrder.urgencyOf(open, nowUnixMs)];
      if (open.isLongRunning || spreadMs === 0) return sum + cpuMilli;
      const { queueId } = open.entry.job.definition;
      const runtimeMs = this.deps.estimates.meanMs(queueId, spec.estimatedRuntimeMs);
      return sum + cpuMilli * Math.min(1, runtimeMs / spreadMs);
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
        if (isWaiting) into.push(this.described(entry, occurrence, step, nowMs));
      }
    }
  }

  private described(
    entry: JobEntry,
    occurrence: Occurrence,
    step: StepState,
    nowMs: number,
  ): OpenStep {
    const known = this.descriptions.get(step);
    if (known && nowMs - known.atMs < DESCRIPTION_MS) return known.open;
    const open = this.describe(entry, occurrence, step);
    this.descriptions.set(step, { atMs: nowMs, open });
    return open;
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
    const tooLarge = new RoomBound();
    const blocked = ordered.filter((step) => this.placeStep(step, open, tooLarge) === 'no-room');
    this.waitingByPool.set(poolId, blocked);
  }

  private placeStep(
    open: OpenStep,
    targets: readonly FleetTarget[],
    tooLarge: RoomBound,
  ): PlaceOutcome {
    if (tooLarge.excludes(open.step.spec)) return 'no-room';
    const placed: LiveRun[] = [];
    const outcome = open.step.spec.gang
      ? this.placeGang(open, targets, placed)
      : this.placeTasks(open, targets, placed);
    // Where advice is asked, a target may have room and still not be allowed.
    if (outcome === 'no-room' && !this.adviceFor(open)) tooLarge.note(open.step.spec);
    if (placed.length > 0) this.logPlaced(open, placed, targets.length);
    return outcome;
  }

  private placeTasks(
    open: OpenStep,
    targets: readonly FleetTarget[],
    placed: LiveRun[],
  ): PlaceOutcome {
    const nowMs = this.deps.clock.monotonicMs();
    for (const task of open.step.tasks) {
      if (!task.isWaiting || task.notBeforeMs > nowMs) continue;
      const outcome = this.placeTask(open, task, targets, placed);
      if (outcome !== 'placed') return outcome;
    }
    return 'placed';
  }

  private logPlaced(open: OpenStep, placed: readonly LiveRun[], openTargets: number): void {
    const nowUnixMs = this.deps.clock.unixMs();
    this.deps.logger.info('tasks-placed', {
      jobId: open.entry.job.jobId,
      stepId: open.step.stepId,
      urgency: QueueOrder.urgencyOf(open, nowUnixMs),
      toObjectiveMs: Math.round(open.objectiveUnixMs - nowUnixMs),
      remainingMs: Math.round(open.remainingMs),
      openTargets,
      runs: placed.map((live) => `${live.place.task.index}#${live.run}@${live.targetId}`).join(' '),
    });
  }

  private placeTask(
    open: OpenStep,
    task: TaskState,
    targets: readonly FleetTarget[],
    placed: LiveRun[],
  ): PlaceOutcome {
    if (!this.teamAllows(open, 1)) return 'team-limit';
    const target = this.choose(open, task, targets, '');
    if (!target) return 'no-room';
    placed.push(this.plan(open, task, target));
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
    if (!this.adviceFor(open)) return TargetChooser.choose(targets, wish);
    const roomy = targets.filter((target) => TargetChooser.fits(target, wish));
    const allowed = this.deps.tickets.allowed(open.step.stepId, roomy);
    if (allowed.length === 0) {
      this.deps.tickets.request(open.step.stepId, roomy);
      return undefined;
    }
    return TargetChooser.choose(allowed, wish);
  }

  private adviceFor({ entry }: OpenStep): AdviceRule | undefined {
    return this.deps.config().queue(entry.job.definition.queueId)?.advice;
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
  private placeGang(
    open: OpenStep,
    targets: readonly FleetTarget[],
    placed: LiveRun[],
  ): PlaceOutcome {
    const { step } = open;
    if (!step.tasks.every((task) => task.isWaiting)) return 'placed';
    if (!this.teamAllows(open, step.tasks.length)) return 'team-limit';
    const racks = step.spec.sameRack ? [...new Set(targets.map((target) => target.rackId))] : [''];
    for (const rackId of racks) {
      const members = this.placeGangIn(open, targets, rackId);
      if (members.length === 0) continue;
      placed.push(...members);
      return 'placed';
    }
    return 'no-room';
  }

  private placeGangIn(
    open: OpenStep,
    targets: readonly FleetTarget[],
    rackId: string,
  ): readonly LiveRun[] {
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
        return [];
      }
      Object.assign(task, { lastRun, checkpoint });
      placed.push(this.plan(open, task, target));
    }
    return placed;
  }
}
