/**
 * Schedules waiting tasks pool by pool, in queue order. A pass covers only the pools for which a
 * pass was requested, because something has changed there or on the regular interval.
 */
import {
  type Clock,
  Disposable,
  type IDisposable,
  type Logger,
  type WorkMeter,
} from '@acaciadock/core';
import {
  type JobsConfigView,
  type StepState,
  type TaskPlace,
  type TaskState,
} from '@acaciadock/jobs';
import {
  type IsolationDemand,
  IsolationPolicy,
  QueueOrder,
  RejectedSizes,
  type RuntimeEstimates,
  TargetChooser,
} from '@acaciadock/placement';
import { type AdmissionController } from './AdmissionController.js';
import { type DemandMeter } from './DemandMeter.js';
import { type FleetTarget } from './FleetTarget.js';
import { type HealthMonitor } from './HealthMonitor.js';
import { type JobEntry } from './JobEntry.js';
import { type JobTable } from './JobTable.js';
import { type LiveRun } from './LiveRun.js';
import { QueueCaution } from './QueueCaution.js';
import { type QueuedStep } from './QueuedStep.js';
import { QueuedStepCollector } from './QueuedStepCollector.js';
import { type Ownership } from './Ownership.js';
import { type RecentCrashes } from './RecentCrashes.js';
import { type RunTracker } from './RunTracker.js';
import { type ShareTracker } from './ShareTracker.js';
import { SuspectBacklog } from './SuspectBacklog.js';
import { SuspectIsolation } from './SuspectIsolation.js';
import { type TargetTable } from './TargetTable.js';
import { TaskPlacer } from './TaskPlacer.js';
import { type TeamUsage } from './TeamUsage.js';
import { type TicketCache } from './TicketCache.js';

/** Delay that batches several changes into one pass, in milliseconds. */
const PASS_DELAY_MS = 2;

/**
 * The pause between two passes, as a multiple of the time of the last one: while passes are long, more
 * changes share one, and they take at most a part of the processor time that the rest of the work needs.
 */
const PAUSE_FACTOR = 8;

/** Longest pause between two passes, in milliseconds. */
const MAX_PAUSE_MS = 25;

/** Interval of passes without a change, in milliseconds: backoffs and tickets expire meanwhile. */
const REGULAR_PASS_MS = 100;

export interface JobSchedulerDeps {
  readonly jobs: JobTable;
  readonly targets: TargetTable;
  readonly usage: TeamUsage;
  readonly runTracker: RunTracker;
  readonly estimates: RuntimeEstimates;
  readonly demand: DemandMeter;
  readonly tickets: TicketCache;
  readonly health: HealthMonitor;
  readonly shares: ShareTracker;
  readonly admission: AdmissionController;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
  readonly meter: WorkMeter;
  readonly recentCrashes?: RecentCrashes;
}

export class JobScheduler extends Disposable {
  private readonly dirtyPools = new Set<string>();

  private passTimer: IDisposable | undefined;

  /** No pass is due before this monotonic time. */
  private earliestPassMs = 0;

  private readonly stepCollector: QueuedStepCollector;

  private readonly isolation: SuspectIsolation;

  private readonly suspects: SuspectBacklog;

  private readonly caution: QueueCaution;

  private readonly placer: TaskPlacer;

  constructor(private readonly deps: JobSchedulerDeps) {
    super();
    this.stepCollector = new QueuedStepCollector(deps);
    this.isolation = new SuspectIsolation(deps.clock, deps.recentCrashes);
    this.caution = new QueueCaution(deps.clock, deps.logger);
    this.suspects = new SuspectBacklog(deps.clock, deps.logger);
    this.placer = this.register(new TaskPlacer({ ...deps, isolation: this.isolation }));
    this.register(deps.clock.every(REGULAR_PASS_MS, () => this.requestAllPasses()));
    this.register({ dispose: () => this.passTimer?.dispose() });
  }

  /** Fires when a planned run is durable, so that its start order may be sent. */
  get onPlaced(): TaskPlacer['onPlaced'] {
    return this.placer.onPlaced;
  }

  /** Requests a pass over the pool. */
  requestPass(poolId: string): void {
    this.dirtyPools.add(poolId);
    this.passTimer ??= this.deps.clock.after(this.delayMs, () => this.runPass());
  }

  private get delayMs(): number {
    return Math.max(PASS_DELAY_MS, this.earliestPassMs - this.deps.clock.monotonicMs());
  }

  /** Requests a pass over the job's pool. */
  requestPassFor(entry: JobEntry): void {
    this.requestPass(this.poolOf(entry));
  }

  /** Opens the due occurrences of a scheduled job. */
  openDue(entry: JobEntry): void {
    if (!entry.job.isScheduled) return;
    if (entry.job.openDue(this.deps.clock.unixMs()).length > 0) this.requestPassFor(entry);
  }

  requestAllPasses(): void {
    this.deps.config().config.pools.forEach((pool) => this.requestPass(pool.poolId));
  }

  /** Whether the tasks of new jobs of the queue start as suspects of crashing targets. */
  isSuspected(queueId: string): boolean {
    return this.caution.isSuspected(queueId);
  }

  /** The pool that runs the job: that of its queue, else the one it was accepted for. */
  poolOf(entry: JobEntry): string {
    return this.stepCollector.poolOf(entry);
  }

  /** Runs a pass that was requested now, without the delay. */
  flush(): void {
    if (!this.passTimer) return;
    this.passTimer.dispose();
    this.runPass();
  }

  /** The step of the task with its queue order; undefined if the job is no longer known. */
  queuedStepOf({ job, occurrence, step }: TaskPlace): QueuedStep | undefined {
    const entry = this.deps.jobs.entryOf(job);
    if (!entry) return undefined;
    return this.stepCollector.cachedOrCreate(
      entry,
      occurrence,
      step,
      this.deps.clock.monotonicMs(),
    );
  }

  /** Whether an open target has room for a task of the step, and its team may start one. */
  hasRoomFor(entry: JobEntry, { spec, stepId }: StepState): boolean {
    const { teamId } = entry.job.definition;
    const limit = this.deps.config().team(teamId)?.limit;
    if (!this.deps.usage.allows(teamId, spec, limit)) return false;
    const request = { step: spec, stepId, avoidTargetId: '', onlyRackId: '' };
    return this.openTargets(this.poolOf(entry)).some((target) =>
      TargetChooser.fits(target, request),
    );
  }

  placeCopy(
    open: QueuedStep,
    task: TaskState,
    targets: readonly FleetTarget[],
  ): LiveRun | undefined {
    return this.placer.placeCopy(open, task, targets);
  }

  /** The targets of the pool that accept new tasks. */
  openTargets(poolId: string): FleetTarget[] {
    const nowMs = this.deps.clock.monotonicMs();
    // Only a fraction of the targets may be ejected, so those that take no tasks anyway must not count.
    const open = this.deps.targets
      .ofPool(poolId)
      .filter((target) => !target.isEvacuated && target.isOpen(nowMs));
    return this.deps.health.usable(open);
  }

  /** The steps whose teams have not reached their limits. */
  private startable(steps: readonly QueuedStep[]): readonly QueuedStep[] {
    return steps.filter((step) => this.placer.teamAllows(step, 1));
  }

  private static isolationDemand(
    steps: readonly QueuedStep[],
    open: readonly FleetTarget[],
  ): IsolationDemand {
    const others = steps.filter((queued) => SuspectBacklog.suspectsOf(queued).length === 0);
    return {
      suspectJobs: SuspectBacklog.countJobs(steps),
      otherSteps: others.length,
      openTargets: open.length,
    };
  }

  private runPass(): void {
    this.passTimer = undefined;
    const { ownership } = this.deps;
    if (this.isDisposed || !ownership.isActive || !ownership.mayAcceptWork) return;
    const { meter, clock } = this.deps;
    const pools = new Set(this.dirtyPools);
    this.dirtyPools.clear();
    const startedMs = clock.monotonicMs();
    const stepsByPool = meter.measure('queue', () => this.stepCollector.collect(pools));
    pools.forEach((poolId) =>
      meter.measure('placement', () => this.placePool(poolId, stepsByPool.get(poolId) ?? [])),
    );
    const endedMs = clock.monotonicMs();
    this.earliestPassMs = endedMs + Math.min(MAX_PAUSE_MS, (endedMs - startedMs) * PAUSE_FACTOR);
  }

  private placePool(poolId: string, steps: readonly QueuedStep[]): void {
    const { admission, clock, demand, shares } = this.deps;
    const open = this.openTargets(poolId);
    this.caution.observe(this.deps.targets.ofPool(poolId));
    steps.forEach((step) => this.caution.apply(step));
    this.isolation.beginPass(poolId, JobScheduler.isolationDemand(this.startable(steps), open));
    demand.recordRunning(poolId, open);
    // Without scarcity there is room for all, and the order is by slack alone.
    const sharePass = demand.isScarce(poolId)
      ? shares.passOver(poolId, steps, this.deps.targets.ofPool(poolId))
      : undefined;
    const orderClass = sharePass && shares.orderOf(sharePass);
    const ordered = QueueOrder.sort(steps, clock.unixMs(), orderClass);
    const rejectedSizes = new RejectedSizes();
    const blocked = ordered.filter(
      (step) => this.placer.placeStep(step, open, rejectedSizes) === 'no-room',
    );
    this.suspects.record(poolId, this.startable(steps), open);
    demand.recordWaiting(poolId, blocked, this.suspects.jobCount(poolId));
    const suspectWaitMs = IsolationPolicy.waitMs(this.suspects.jobCount(poolId), open.length);
    admission.refresh(poolId, { blocked, rejectedSizes, suspectWaitMs });
    if (sharePass) shares.recordDenied(sharePass, blocked);
  }
}
