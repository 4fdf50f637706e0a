/**
 * The entry that owns the journal: takes jobs, drives targets, ends jobs. It lives for one period
 * of ownership and rebuilds everything from the journal and from what targets report.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import { SLOWEST_CLOCK_RATE, type TargetPort } from '@acaciadock/execution';
import { type JobDefinition, type JobsConfigView } from '@acaciadock/jobs';
import { type CommitOutcome, type OwnedJournal } from '@acaciadock/journal';
import { RuntimeEstimates, ShareMeter } from '@acaciadock/placement';
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
import { type JobEntry } from './JobEntry.js';
import { type JobCall, type JobReply, type JobService, type SubmitCall } from './JobService.js';
import { JobScheduler } from './JobScheduler.js';
import { JobTable } from './JobTable.js';
import { type LiveRun } from './LiveRun.js';
import { EXTENSION_BOUND_MS, type Ownership } from './Ownership.js';
import { ReportReader } from './ReportReader.js';
import { RunBook } from './RunBook.js';
import { LEASE_MS, TargetDriver } from './TargetDriver.js';
import { TargetTable } from './TargetTable.js';
import { TeamUsage } from './TeamUsage.js';
import { TicketBook } from './TicketBook.js';

/** Between two readings of the list of targets, in milliseconds: well under a heartbeat. */
const REGISTRY_PERIOD_MS = 300;

/** The same while instances are on their way to a pool that waits for them, in milliseconds. */
const BUSY_REGISTRY_PERIOD_MS = 100;

/** Between two looks at leases and due times, in milliseconds. */
const TICK_MS = 50;

/** Callers are told to come back after this, in milliseconds: a change of owner takes about it. */
const RETRY_AFTER_MS = 1_000;

/** A caller is told that the outcome is unknown after this wait for the store, in milliseconds. */
const COMMIT_WAIT_MS = 1_500;

/** Restart pause of a task that lasts after its first failure; doubles up to the largest. */
const RESTART_PAUSE_MS = 100;
const LARGEST_RESTART_PAUSE_MS = 1_600;

export interface CoordinatorOptions extends FleetStewardOptions {
  /** The earlier owner extends no leases any more: it has released the journal or is over. */
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

  private readonly reader: ReportReader;

  private readonly shares = new ShareMeter();

  private readonly drivers = new Map<string, TargetDriver>();

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
    this.reader = new ReportReader(this.book, clock, logger);
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
    void this.followRegistry();
    void this.steward?.run();
  }

  /** What an earlier owner extended last ends one lease from now at the latest. */
  private onFormerStopped(): void {
    const nowMs = this.deps.clock.monotonicMs();
    this.targets.boundInherited(nowMs + LEASE_MS / SLOWEST_CLOCK_RATE);
  }

  call(call: JobCall): Promise<JobReply> {
    switch (call.kind) {
      case 'submit':
        return this.submit(call);
      case 'cancel':
        return this.cancel(call.jobId, call.context.teamId);
      case 'state':
        return Promise.resolve(this.state(call.jobId, call.context.teamId));
      case 'waiting':
      default:
        return Promise.resolve(this.waiting(call.context.queueId));
    }
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
    this.register(this.targets.onListed((target) => this.onListed(target)));
    this.register(this.targets.onDraining((target) => this.onDraining(target)));
    this.register(
      this.targets.onRemoved((target) => {
        this.drivers.get(target.targetId)?.dispose();
        this.drivers.delete(target.targetId);
        this.deps.port.forget(target.address);
      }),
    );
    this.register(this.book.onJobChanged((entry) => this.wakeFor(entry)));
    this.register(
      this.book.onStopWanted((live) => {
        void this.drivers.get(live.targetId)?.stop(live);
      }),
    );
    this.register(this.book.onEnded(({ run, end }) => this.onRunEnded(run, end)));
    this.register(this.scheduler.onPlaced((live) => this.order(live)));
    this.register(this.tickets.onArrived(() => this.scheduler.wakeAll()));
  }

  private order(live: LiveRun): void {
    const driver = this.drivers.get(live.targetId);
    if (driver) void driver.start(live);
    else this.book.stop(live);
  }

  private wakeFor(entry: JobEntry): void {
    this.scheduler.wake(this.scheduler.poolOf(entry));
  }

  private onRunEnded(live: LiveRun, end: string): void {
    const target = this.targets.get(live.targetId);
    if (target) this.scheduler.wake(target.poolId);
    const { step, task } = live.place;
    if (!step.spec.longRunning || end !== 'failed') return;
    const pauseMs = Math.min(LARGEST_RESTART_PAUSE_MS, RESTART_PAUSE_MS * 2 ** (task.failures - 1));
    task.notBeforeMs = this.deps.clock.monotonicMs() + pauseMs;
  }

  private onListed(target: FleetTarget): void {
    const known = this.drivers.get(target.targetId);
    if (known) {
      known.wake();
      return;
    }
    const driver = new TargetDriver(target, {
      port: this.deps.port,
      book: this.book,
      reader: this.reader,
      ownership: this.deps.ownership,
      clock: this.deps.clock,
      logger: this.deps.logger,
      onConfirmed: () => this.scheduler.wake(target.poolId),
    });
    this.drivers.set(target.targetId, this.register(driver));
    void driver.run();
  }

  /** What lasts leaves a draining target at once; the rest may end there. */
  private onDraining(target: FleetTarget): void {
    this.deps.logger.info('target-draining', {
      targetId: target.targetId,
      runs: target.runs.size,
      remainingMs: target.entry?.remainingMs,
    });
    [...target.runs.values()]
      .filter((live) => live.place.step.spec.longRunning)
      .forEach((live) => this.book.stop(live));
  }

  private async followRegistry(): Promise<void> {
    const { registry, clock, logger } = this.deps;
    let lost = false;
    while (!this.isDisposed) {
      const entries = await registry.list();
      if (this.isDisposed) return;
      if (entries.isOk()) this.targets.update(entries.value);
      if (entries.isErr() !== lost) {
        lost = entries.isErr();
        logger.warn(lost ? 'registry-lost' : 'registry-back', {
          reason: entries.isErr() ? entries.error.kind : '',
        });
      }
      const isBusy = this.steward?.hasOrders ?? false;
      await clock.sleep(isBusy ? BUSY_REGISTRY_PERIOD_MS : REGISTRY_PERIOD_MS);
    }
  }

  private tick(): void {
    const nowMs = this.deps.clock.monotonicMs();
    for (const target of this.targets.all) {
      if (target.runs.size > 0 && nowMs >= target.lease.surelyLapsedAtMs()) this.giveUp(target);
    }
    this.health.look();
    for (const entry of this.jobs.activeJobs) this.openDue(entry);
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

  private openDue(entry: JobEntry): void {
    if (!entry.job.isScheduled) return;
    if (entry.job.openDue(this.deps.clock.unixMs()).length > 0) this.wakeFor(entry);
  }

  private async submit(call: SubmitCall): Promise<JobReply> {
    const { ownership, clock, logger } = this.deps;
    const known = this.jobs.get(call.jobId);
    if (!known && !ownership.isStoreResponsive) return Coordinator.refuse('store-stalled');
    const entry = known ?? this.accept(this.definitionOf(call));
    const startedMs = clock.monotonicMs();
    const outcome = await this.within(entry.acceptance);
    logger.info('job-accepted', {
      jobId: call.jobId,
      queueId: call.context.queueId,
      teamId: call.context.teamId,
      configVersion: call.context.configVersion,
      repeated: known !== undefined,
      outcome,
      appendMs: Math.round(clock.monotonicMs() - startedMs),
    });
    if (outcome === 'durable') return { kind: 'accepted' };
    return { kind: 'unknown-outcome', reason: outcome };
  }

  /** The outcome, or that it is not known yet: a caller is not kept until its time is over. */
  private within(commit: Promise<CommitOutcome>): Promise<CommitOutcome | 'store-stalled'> {
    const { clock } = this.deps;
    return new Promise((resolve) => {
      const timer = clock.after(COMMIT_WAIT_MS, () => resolve('store-stalled'));
      void commit.then((outcome) => {
        timer.dispose();
        resolve(outcome);
      });
    });
  }

  private accept(definition: JobDefinition): JobEntry {
    const entry = this.jobs.accept(definition);
    this.openDue(entry);
    this.demand.noteArrival(this.scheduler.poolOf(entry), entry);
    this.wakeFor(entry);
    return entry;
  }

  private definitionOf({ context, jobId, spec }: SubmitCall): JobDefinition {
    return {
      jobId,
      queueId: context.queueId,
      poolId: context.poolId,
      teamId: context.teamId,
      priority: context.priority,
      maxAttempts: context.maxAttempts,
      stretch: context.stretch,
      targetLatencyMs: context.targetLatencyMs,
      acceptedUnixMs: this.deps.clock.unixMs(),
      isBeyondShare: this.isBeyondShare(context.teamId),
      spec,
    };
  }

  private isBeyondShare(teamId: string): boolean {
    const team = this.deps.config().team(teamId);
    if (!team) return false;
    return this.shares.note(teamId, team.weight, this.deps.clock.monotonicMs());
  }

  private async cancel(jobId: string, teamId: string): Promise<JobReply> {
    const entry = this.visible(jobId, teamId);
    if (!entry) return this.unknownJob();
    if (entry.job.isFinished && !entry.cancellation) return { kind: 'cancelled' };
    if (!entry.cancellation) {
      if (!this.deps.ownership.isStoreResponsive) return Coordinator.refuse('store-stalled');
      entry.cancellation = this.book.finishJob(entry, 'cancelled');
    }
    const outcome = await this.within(entry.cancellation);
    if (outcome === 'durable') return { kind: 'cancelled' };
    return { kind: 'unknown-outcome', reason: outcome };
  }

  private state(jobId: string, teamId: string): JobReply {
    const entry = this.visible(jobId, teamId);
    if (!entry) return this.unknownJob();
    const { job, shownStatus } = entry;
    const isShown = shownStatus === job.status || job.isFinished;
    return { kind: 'state', status: isShown ? shownStatus : job.status };
  }

  /** An owner that the store turns away may have a successor that has accepted the job. */
  private unknownJob(): JobReply {
    if (this.deps.ownership.isProven) return { kind: 'unknown-job' };
    return Coordinator.refuse('ownership-unproven');
  }

  private waiting(queueId: string): JobReply {
    let count = 0;
    for (const { job } of this.jobs.activeJobs) {
      if (job.definition.queueId === queueId && !job.hasStarted) count += 1;
    }
    return { kind: 'waiting', count };
  }

  /** The job, if the team may see it. Jobs of public queues are open to all. */
  private visible(jobId: string, teamId: string): JobEntry | undefined {
    const entry = this.jobs.get(jobId);
    if (!entry) return undefined;
    const { queueId, teamId: ownerId } = entry.job.definition;
    if (ownerId === '' || ownerId === teamId) return entry;
    return this.deps.config().queue(queueId)?.isPublic ? entry : undefined;
  }

  private static refuse(reason: string): JobReply {
    return { kind: 'refused', reason, retryAfterMs: RETRY_AFTER_MS };
  }
}
