/**
 * What the owner of the journal does, put together from its parts. It lives for one period of
 * ownership and rebuilds everything from the journal and from what targets report.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
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
import { FleetSteward, type FleetStewardOptions } from './FleetSteward.js';
import { type FleetTarget } from './FleetTarget.js';
import { DemandMeter } from './DemandMeter.js';
import { HealthWatch } from './HealthWatch.js';
import { JobCalls } from './JobCalls.js';
import { type JobCall, type JobReply, type JobService } from './JobService.js';
import { JobScheduler } from './JobScheduler.js';
import { JobTable } from './JobTable.js';
import { type LiveRun } from './LiveRun.js';
import { EXTENSION_BOUND_MS, type Ownership } from './Ownership.js';
import { ReportReader } from './ReportReader.js';
import { RunBook } from './RunBook.js';
import { LEASE_MS } from './TargetDriver.js';
import { TargetDrivers } from './TargetDrivers.js';
import { TargetTable } from './TargetTable.js';
import { TeamUsage } from './TeamUsage.js';
import { TicketBook } from './TicketBook.js';

/** Between two looks at leases and due times, in milliseconds. */
const TICK_MS = 50;

/** Restart pause of a task that lasts after its first failure; doubles up to the largest. */
const RESTART_PAUSE_MS = 100;
const LARGEST_RESTART_PAUSE_MS = 1_600;

export interface CoordinatorOptions extends FleetStewardOptions {
  /** No earlier owner extends leases any more: each has released the journal or is over. */
  readonly isFormerOwnerOver: boolean;
  /** Largest lease that a target grants, in milliseconds. */
  readonly mostLeaseMs: number;
  /** How long a finished job's state can be asked for, in milliseconds. */
  readonly keepFinishedMs: number;
}

export interface CoordinatorDeps {
  readonly ownership: Ownership;
  readonly registry: TargetRegistry;
  readonly port: TargetPort;
  readonly advice: AdviceService;
  /** Undefined where instances can't be moved. */
  readonly fleet: InstanceFleet | undefined;
  readonly reports: WaveReports;
  readonly waves: () => readonly UpkeepWave[];
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
}

export class Coordinator extends Disposable implements JobService {
  readonly jobs: JobTable;

  readonly targets: TargetTable;

  readonly usage = new TeamUsage();

  readonly book: RunBook;

  readonly scheduler: JobScheduler;

  private readonly demand: DemandMeter;

  private readonly steward: FleetSteward | undefined;

  private readonly tickets: TicketBook;

  private readonly health: HealthWatch;

  private readonly drivers: TargetDrivers;

  private readonly calls: JobCalls;

  constructor(
    owned: OwnedJournal,
    private readonly options: CoordinatorOptions,
    private readonly deps: CoordinatorDeps,
  ) {
    super();
    const { ownership, clock, logger, advice } = deps;
    const extensionMs = options.isFormerOwnerOver ? 0 : EXTENSION_BOUND_MS;
    const inheritedUntilMs = clock.monotonicMs() + extensionMs + LEASE_MS / SLOWEST_CLOCK_RATE;
    const estimates = new RuntimeEstimates();
    this.jobs = new JobTable(ownership, clock);
    this.targets = this.register(
      new TargetTable({ mostLeaseMs: options.mostLeaseMs, inheritedUntilMs }),
    );
    this.book = this.register(
      new RunBook(this.jobs, this.targets, this.usage, estimates, clock, logger),
    );
    this.tickets = this.register(new TicketBook(advice, clock, logger));
    this.health = this.register(
      new HealthWatch({ targets: this.targets, book: this.book, estimates, clock, logger }),
    );
    this.demand = new DemandMeter(estimates, clock);
    this.scheduler = this.register(
      new JobScheduler({
        jobs: this.jobs,
        targets: this.targets,
        usage: this.usage,
        book: this.book,
        estimates,
        demand: this.demand,
        tickets: this.tickets,
        health: this.health,
        ownership,
        clock,
        logger,
        config: deps.config,
      }),
    );
    this.drivers = this.register(
      new TargetDrivers({
        ...deps,
        targets: this.targets,
        book: this.book,
        reader: new ReportReader(this.book, clock, logger),
        onConfirmed: ({ poolId }) => this.scheduler.wake(poolId),
        areInstancesMoving: () => this.steward?.hasOrders ?? false,
      }),
    );
    const { jobs, book, demand, scheduler } = this;
    this.calls = new JobCalls({ ...deps, jobs, book, demand, scheduler });
    this.steward = this.newSteward();
    this.restore(owned);
    this.connect();
  }

  /** Reads the list of targets and begins to work. */
  start(): void {
    const { clock, ownership } = this.deps;
    this.register(ownership.onEnd(() => this.dispose()));
    this.register(ownership.onFormerStopped(() => this.onFormerStopped()));
    this.register(clock.every(TICK_MS, () => this.tick()));
    void this.drivers.followRegistry();
    void this.steward?.run();
  }

  /** What an earlier owner extended last ends one lease from now at the latest. */
  private onFormerStopped(): void {
    const nowMs = this.deps.clock.monotonicMs();
    this.targets.boundInherited(nowMs + LEASE_MS / SLOWEST_CLOCK_RATE);
  }

  call(call: JobCall): Promise<JobReply> {
    return this.calls.call(call);
  }

  private restore(owned: OwnedJournal): void {
    const unreadable = this.jobs.restore(owned.records);
    const adopted = this.book.adoptJournaled();
    this.restoreSteward(owned);
    this.deps.logger.info('coordinator-started', {
      epoch: owned.epoch,
      jobs: this.jobs.activeCount,
      adoptedRuns: adopted,
      unreadable,
    });
  }

  private newSteward(): FleetSteward | undefined {
    const { fleet, reports, waves, ownership, clock, logger, config } = this.deps;
    if (!fleet) return undefined;
    const { targets, book, demand } = this;
    return this.register(
      new FleetSteward(this.options, {
        fleet,
        reports,
        waves,
        targets,
        book,
        demand,
        ownership,
        clock,
        logger,
        config,
      }),
    );
  }

  private restoreSteward(owned: OwnedJournal): void {
    owned.records.forEach(({ key, value }) => {
      if (value) this.steward?.restore(key, value);
    });
  }

  private connect(): void {
    this.register(this.book.onJobChanged((entry) => this.scheduler.wakeFor(entry)));
    this.register(this.book.onEnded(({ run, end }) => this.onRunEnded(run, end)));
    this.register(this.scheduler.onPlaced((live) => this.drivers.order(live)));
    this.register(this.tickets.onArrived(() => this.scheduler.wakeAll()));
  }

  private onRunEnded(live: LiveRun, end: string): void {
    const target = this.targets.get(live.targetId);
    if (target) this.scheduler.wake(target.poolId);
    const { step, task } = live.place;
    if (!step.spec.longRunning || end !== 'failed') return;
    const pauseMs = Math.min(LARGEST_RESTART_PAUSE_MS, RESTART_PAUSE_MS * 2 ** (task.failures - 1));
    task.notBeforeMs = this.deps.clock.monotonicMs() + pauseMs;
  }

  private tick(): void {
    const nowMs = this.deps.clock.monotonicMs();
    for (const target of this.targets.all) {
      if (target.runs.size > 0 && nowMs >= target.lease.surelyLapsedAtMs()) this.giveUp(target);
    }
    this.health.look();
    for (const entry of this.jobs.activeJobs) this.scheduler.openDue(entry);
    this.jobs.dropFinished(this.options.keepFinishedMs);
  }

  /** No lease can be in force there any more, so what was ordered is over. */
  private giveUp(target: FleetTarget): void {
    [...target.runs.values()]
      .filter((live) => live.phase !== 'planned')
      .forEach((live) => {
        void this.book.finish(live, 'lapsed', '');
      });
  }
}
