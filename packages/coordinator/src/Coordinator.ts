/**
 * Composition root of the work that the owner of the journal does: scheduling, target drivers,
 * health checks, fleet control and the job service. A `Coordinator` lives for one period of
 * ownership and rebuilds its state from the journal and from the reports of targets.
 */
import { type Clock, Disposable, type Logger, WorkMeter } from '@acaciadock/core';
import { SLOWEST_CLOCK_RATE, type TargetPort } from '@acaciadock/execution';
import { type JobsConfigView } from '@acaciadock/jobs';
import { type OwnedJournal } from '@acaciadock/journal';
import { RuntimeEstimates } from '@acaciadock/placement';
import {
  type AdviceService,
  type InstanceFleet,
  type TargetRegistry,
  type UpkeepWave,
  type WaveReports,
} from './contracts/index.js';
import { AdmissionController, type AdmissionOptions } from './AdmissionController.js';
import { CrashHandler } from './CrashHandler.js';
import { CancelRecords } from './CancelRecords.js';
import { CopyController } from './CopyController.js';
import { FleetController, type FleetControllerOptions } from './FleetController.js';
import { type FleetTarget } from './FleetTarget.js';
import { DemandMeter } from './DemandMeter.js';
import { EvacuationController } from './EvacuationController.js';
import { HealthMonitor } from './HealthMonitor.js';
import { JobCallHandler } from './JobCallHandler.js';
import { type JobDecoder } from './JobDecoder.js';
import { type JobCall, type JobReply, type JobService } from './JobService.js';
import { JobScheduler } from './JobScheduler.js';
import { JobTable } from './JobTable.js';
import { type LiveRun } from './LiveRun.js';
import { LoadMeter } from './LoadMeter.js';
import { OwnerLoadLog } from './OwnerLoadLog.js';
import { EXTENSION_BOUND_MS, type Ownership } from './Ownership.js';
import { RecentCrashes } from './RecentCrashes.js';
import { ReportProcessor } from './ReportProcessor.js';
import { RuntimeRecord } from './RuntimeRecord.js';
import { RunTracker } from './RunTracker.js';
import { ShareTracker } from './ShareTracker.js';
import { LEASE_MS } from './TargetDriver.js';
import { TargetDrivers } from './TargetDrivers.js';
import { TargetTable } from './TargetTable.js';
import { TaskRelocator } from './TaskRelocator.js';
import { TeamUsage } from './TeamUsage.js';
import { TicketCache } from './TicketCache.js';
import { WaitLog } from './WaitLog.js';
import { type EvacuationRequests, ZoneEvacuation } from './ZoneEvacuation.js';

/** Interval of the checks for expired leases and due occurrences, in milliseconds. */
const TICK_MS = 50;

/** Interval of the checks of all runs, in milliseconds: targets report about every 250 ms. */
const RUN_CHECK_MS = 150;

/**
 * Restart backoff of a long-running task after its first failure, in milliseconds. It doubles with
 * each failure up to the maximum.
 */
const RESTART_DELAY_MS = 100;
const MAX_RESTART_DELAY_MS = 1_600;

/** What is known of the leases that earlier owners granted. */
export interface InheritedLeases {
  /** No previous owner extends leases any more: each has released the journal or has exited. */
  readonly hasPreviousOwnerStopped: boolean;
  /** The longest lease of earlier owners, in milliseconds; undefined if only the targets bound it. */
  readonly inheritedLeaseMs: number | undefined;
}

/** Settings that are the same in each period of ownership. */
export interface CoordinatorSettings extends FleetControllerOptions, AdmissionOptions {
  /** Longest lease that a target grants, in milliseconds. */
  readonly maxLeaseMs: number;
  /** Retention of finished jobs, during which their state can be queried, in milliseconds. */
  readonly keepFinishedMs: number;
  /**
   * Time after the confirmation of a request to evacuate a zone from which no task starts there, in
   * milliseconds; undefined if there is no such bound.
   */
  readonly evacuateMs: number | undefined;
}

export interface CoordinatorOptions extends CoordinatorSettings, InheritedLeases {}

export interface CoordinatorDeps {
  readonly ownership: Ownership;
  readonly registry: TargetRegistry;
  readonly port: TargetPort;
  readonly advice: AdviceService;
  /** Undefined if the platform can't move instances. */
  readonly fleet: InstanceFleet | undefined;
  readonly reports: WaveReports;
  readonly waves: () => readonly UpkeepWave[];
  readonly evacuationRequests: () => EvacuationRequests;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
  /** Has decoded records of the journal ahead. */
  readonly decoder?: JobDecoder;
  /** Total time that the event loop of the process was busy, in milliseconds. */
  readonly busyMs?: () => number;
}

export class Coordinator extends Disposable implements JobService {
  readonly jobs: JobTable;

  readonly targets: TargetTable;

  readonly usage = new TeamUsage();

  readonly runTracker: RunTracker;

  readonly scheduler: JobScheduler;

  private readonly demand: DemandMeter;

  private readonly zoneEvacuation: ZoneEvacuation;

  private readonly relocator: TaskRelocator;

  private readonly evacuations: EvacuationController;

  private readonly fleetController: FleetController | undefined;

  private readonly tickets: TicketCache;

  private readonly health: HealthMonitor;

  private readonly shares: ShareTracker;

  private readonly copies: CopyController;

  private readonly runtimeRecord: RuntimeRecord;

  private readonly cancels: CancelRecords;

  private readonly drivers: TargetDrivers;

  private readonly callHandler: JobCallHandler;

  /** Monotonic time by which all leases of earlier owners have expired. */
  private readonly inheritedUntilMs: number;

  private readonly meter: WorkMeter;

  private readonly loadLog: OwnerLoadLog;

  private readonly load: LoadMeter;

  private readonly waitLog: WaitLog;

  constructor(
    owned: OwnedJournal,
    private readonly options: CoordinatorOptions,
    private readonly deps: CoordinatorDeps,
  ) {
    super();
    const { ownership, clock, logger, advice } = deps;
    const meter = new WorkMeter(clock);
    this.meter = meter;
    this.load = new LoadMeter(clock, deps.busyMs);
    const extensionMs = options.hasPreviousOwnerStopped ? 0 : EXTENSION_BOUND_MS;
    const inheritedUntilMs = clock.monotonicMs() + extensionMs + this.longestInheritedMs;
    this.inheritedUntilMs = inheritedUntilMs;
    const estimates = new RuntimeEstimates();
    this.runtimeRecord = new RuntimeRecord(estimates, deps);
    this.jobs = new JobTable(ownership, clock, meter, logger, deps.decoder);
    this.cancels = new CancelRecords(ownership, clock);
    const { maxLeaseMs, evacuateMs } = options;
    const evacuation = new ZoneEvacuation(deps.evacuationRequests, clock, evacuateMs);
    this.zoneEvacuation = evacuation;
    this.targets = this.register(new TargetTable({ maxLeaseMs, inheritedUntilMs, evacuation }));
    this.runTracker = this.register(
      new RunTracker(this.jobs, this.targets, this.usage, estimates, clock, logger),
    );
    this.relocator = new TaskRelocator(this.targets, this.runTracker, ownership, clock);
    this.evacuations = this.register(
      new EvacuationController({
        evacuation,
        targets: this.targets,
        relocator: this.relocator,
        clock,
        logger,
      }),
    );
    this.tickets = this.register(new TicketCache(advice, clock, logger));
    this.health = this.register(
      new HealthMonitor({
        targets: this.targets,
        runTracker: this.runTracker,
        estimates,
        clock,
        logger,
        handleStraggler: (live, verdict) => this.copies.handleStraggler(live, verdict),
      }),
    );
    this.demand = new DemandMeter(estimates, clock);
    this.shares = new ShareTracker(deps);
    const admission = new AdmissionController(options, {
      estimates,
      targets: this.targets,
      clock,
      logger,
      config: deps.config,
      roomOf: deps.fleet && ((poolId) => this.fleetController?.roomOf(poolId)),
    });
    this.loadLog = new OwnerLoadLog(TICK_MS, {
      ...deps,
      busyMs: deps.busyMs,
      meter,
      jobs: this.jobs,
      targets: this.targets,
    });
    const recentCrashes = new RecentCrashes(clock);
    this.scheduler = this.register(
      new JobScheduler({
        meter,
        jobs: this.jobs,
        targets: this.targets,
        usage: this.usage,
        runTracker: this.runTracker,
        estimates,
        demand: this.demand,
        tickets: this.tickets,
        health: this.health,
        shares: this.shares,
        admission,
        ownership,
        clock,
        logger,
        config: deps.config,
        recentCrashes,
      }),
    );
    this.copies = new CopyController({
      ...deps,
      targets: this.targets,
      runTracker: this.runTracker,
      scheduler: this.scheduler,
      demand: this.demand,
    });
    const crashes = new CrashHandler(this.runTracker, clock, logger, recentCrashes);
    this.drivers = this.register(
      new TargetDrivers({
        ...deps,
        meter,
        load: this.load,
        targets: this.targets,
        runTracker: this.runTracker,
        reportProcessor: new ReportProcessor(this.runTracker, crashes, clock, logger),
        crashes,
        onConfirmed: ({ poolId }) => this.scheduler.requestPass(poolId),
        areInstancesMoving: () => this.fleetController?.hasOrders ?? false,
      }),
    );
    const { jobs, runTracker, demand, scheduler } = this;
    this.waitLog = new WaitLog({ jobs, runTracker, scheduler, clock, logger });
    this.callHandler = new JobCallHandler({
      ...deps,
      jobs,
      cancels: this.cancels,
      runTracker,
      demand,
      scheduler,
      admission,
      keepFinishedMs: options.keepFinishedMs,
    });
    this.fleetController = this.createFleetController(crashes);
    this.restore(owned);
    this.connect();
  }

  /** Starts to follow the target registry, to check leases and to control the fleet. */
  start(): void {
    const { clock, ownership } = this.deps;
    this.register(ownership.onEnd(() => this.dispose()));
    this.register(ownership.onPreviousOwnerStopped(() => this.onPreviousOwnerStopped()));
    this.register(clock.every(TICK_MS, () => this.meter.measure('tick', () => this.tick())));
    this.register(
      clock.every(RUN_CHECK_MS, () => this.meter.measure('run-checks', () => this.checkRuns())),
    );
    this.markInheritedLeasesExpired();
    void this.drivers.followRegistry();
    void this.fleetController?.run();
  }

  /**
   * Bounds the leases that previous owners granted. The last one expires at most one of their lease lengths
   * from now on the clock of its target, which may run as slow as `SLOWEST_CLOCK_RATE`.
   */
  private onPreviousOwnerStopped(): void {
    const nowMs = this.deps.clock.monotonicMs();
    this.targets.boundInherited(nowMs + this.longestInheritedMs);
  }

  /** Real time that a lease of an earlier owner may last, in milliseconds. */
  private get longestInheritedMs(): number {
    const { inheritedLeaseMs, maxLeaseMs } = this.options;
    return Math.min(inheritedLeaseMs ?? maxLeaseMs, maxLeaseMs) / SLOWEST_CLOCK_RATE;
  }

  private markInheritedLeasesExpired(): void {
    if (this.options.inheritedLeaseMs === LEASE_MS) return;
    const waitMs = this.inheritedUntilMs - this.deps.clock.monotonicMs();
    const { ownership, clock } = this.deps;
    this.register(clock.after(waitMs, () => ownership.markInheritedLeasesExpired(LEASE_MS)));
  }

  call(call: JobCall): Promise<JobReply> {
    return this.meter.measure('calls', () => this.callHandler.call(call));
  }

  private restore(owned: OwnedJournal): void {
    const { clock, logger } = this.deps;
    const startedMs = clock.monotonicMs();
    const unreadable = this.jobs.restore(owned.records);
    const adopted = this.runTracker.adoptJournaled();
    this.restoreDecisions(owned);
    logger.info('coordinator-started', {
      epoch: owned.epoch,
      tookMs: Math.round(clock.monotonicMs() - startedMs),
      jobs: this.jobs.activeCount,
      adoptedRuns: adopted,
      unreadable,
    });
  }

  private createFleetController(crashes: CrashHandler): FleetController | undefined {
    const { fleet, reports, waves, ownership, clock, logger, config } = this.deps;
    if (!fleet) return undefined;
    const { targets, relocator, demand } = this;
    return this.register(
      new FleetController(this.options, {
        fleet,
        reports,
        waves,
        targets,
        crashes,
        relocator,
        evacuation: this.zoneEvacuation,
        evacuationLacksRoom: (poolId) => this.evacuations.lacksRoom(poolId),
        demand,
        ownership,
        clock,
        logger,
        config,
        meter: this.meter,
      }),
    );
  }

  private restoreDecisions(owned: OwnedJournal): void {
    owned.records.forEach(({ key, value }) => {
      if (!value || this.shares.restore(key, value)) return;
      if (this.runtimeRecord.restore(key, value) || this.cancels.restore(key, value)) return;
      this.fleetController?.restore(key, value);
    });
  }

  private connect(): void {
    this.register(this.runTracker.onJobChanged((entry) => this.scheduler.requestPassFor(entry)));
    this.register(this.runTracker.onEnded(({ run, end }) => this.onRunEnded(run, end)));
    this.register(this.scheduler.onPlaced((live) => this.drivers.order(live)));
    this.register(this.tickets.onArrived(() => this.scheduler.requestAllPasses()));
  }

  private onRunEnded(live: LiveRun, end: string): void {
    const target = this.targets.get(live.targetId);
    if (target) this.scheduler.requestPass(target.poolId);
    const { step, task } = live.place;
    if (!step.spec.longRunning || end !== 'failed') return;
    const delayMs = Math.min(MAX_RESTART_DELAY_MS, RESTART_DELAY_MS * 2 ** (task.failures - 1));
    task.notBeforeMs = this.deps.clock.monotonicMs() + delayMs;
  }

  private tick(): void {
    const nowMs = this.deps.clock.monotonicMs();
    for (const target of this.targets.all) {
      if (target.runs.size > 0) this.expireRuns(target, nowMs);
    }
    this.copies.check();
    for (const entry of this.jobs.activeJobs) this.scheduler.openDue(entry);
    this.load.update();
    this.loadLog.tick();
  }

  private checkRuns(): void {
    this.health.check();
    this.waitLog.check();
    this.runtimeRecord.update();
    this.jobs.dropFinished(this.options.keepFinishedMs);
    this.cancels.dropOld(this.options.keepFinishedMs);
  }

  /**
   * Ends the ordered runs of a target whose leases can't be in force any more. A planned run has not
   * been ordered yet, so it can't be on the target.
   */
  private expireRuns({ lease, runs }: FleetTarget, nowMs: number): void {
    if (nowMs < lease.listedRunsExpiredAtMs()) return;
    const haveAllExpired = nowMs >= lease.certainlyExpiredAtMs();
    [...runs.values()]
      .filter((live) => live.phase !== 'planned' && (haveAllExpired || live.isListed))
      .forEach((live) => {
        void this.runTracker.finish(live, 'lapsed', '');
      });
  }
}
