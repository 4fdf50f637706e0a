/**
 * Executes maintenance while this entry holds the controller role. Every step is recorded in the
 * control stream before the platform is called, and everything that is not recorded can be observed
 * again. A new controller can therefore continue from the records alone.
 */
import { randomUUID } from 'node:crypto';
import { type Clock, type EntryId, type InstanceId, Task } from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import {
  CONTROL_STREAM,
  type InstanceControl,
  type InstanceDirectory,
  type LogService,
  type OperationState,
} from '@acaciadock/platform';
import { type ConfigWriter } from './ConfigWriter.js';
import { type ControlReader } from './ControlReader.js';
import { type DemandSmoother } from './DemandSmoother.js';
import { type DrainTracker } from './DrainTracker.js';
import { FleetHealth } from './FleetHealth.js';
import { HealthSweep } from './HealthSweep.js';
import { patchFor } from './InstancePatches.js';
import { type InstanceProbe } from './InstanceProbe.js';
import { type JobAction, type JobDecider } from './JobDecider.js';
import { JobOpener, type OpenerDecision, type RollOutWait } from './JobOpener.js';
import { JobMonitor } from './JobMonitor.js';
import { type MaintenanceRecord } from './MaintenanceRecord.js';
import { type Job } from './MaintenanceState.js';
import { type ControllerRole } from './ControllerRole.js';
import { type WorkSurvey } from './WorkSurvey.js';

export interface ControllerOptions {
  readonly tickMs: number;
  readonly listPeriodMs: number;
  readonly surveyPeriodMs: number;
  /** Entries, live or dead, that may have open work when this entry acquires the role. */
  readonly knownEntryIds: () => readonly EntryId[];
}

export interface ControllerServices {
  readonly config: ConfigView;
  readonly writer: ConfigWriter;
  readonly log: LogService;
  readonly reader: ControlReader;
  readonly role: ControllerRole;
  readonly control: InstanceControl;
  readonly directory: InstanceDirectory;
  readonly probe: InstanceProbe;
  readonly tracker: DrainTracker;
  readonly survey: WorkSurvey;
  readonly demand: DemandSmoother;
  readonly decider: JobDecider;
  readonly clock: Clock;
}

type ControllerMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'operation'; readonly jobId: string; readonly state: OperationState }
  | { readonly kind: 'checked'; readonly job: Job; readonly healthy: boolean };

/** How long the controller waits for an appended record to be read back before deciding again. */
const READ_BACK_TIMEOUT_MS = 2_000;

/** Without open jobs the survey only measures demand, which is smoothed; it runs less often. */
const IDLE_SURVEY_FACTOR = 10;
const SNAPSHOT_PERIOD_MS = 10 * 60 * 1_000;

export class MaintenanceController extends Task<ControllerMessage> {
  private readonly health: FleetHealth;

  private readonly sweep: HealthSweep;

  private readonly monitor: JobMonitor;

  /** Keys of the calls in flight; there is at most one call per key at a time. */
  private readonly inFlight = new Set<string>();

  private nextSnapshotMs = 0;

  private readBackOffset = -1;

  private readBackUntilMs = 0;

  private listedAtMs = Number.NEGATIVE_INFINITY;

  private surveyedAtMs = Number.NEGATIVE_INFINITY;

  private lastEpoch: number | undefined;

  private lastWait: RollOutWait | undefined;

  constructor(
    private readonly services: ControllerServices,
    private readonly options: ControllerOptions,
  ) {
    super('maintenance-controller');
    const { clock, probe, tracker, config, decider } = services;
    this.health = new FleetHealth(clock);
    this.sweep = new HealthSweep(probe, this.health);
    this.monitor = new JobMonitor(clock, decider, tracker, this.health);
    this.register(config.onChange(() => this.post({ kind: 'tick' })));
  }

  /** Starts the periodic tick, which claims the role and works while it is held. */
  start(): void {
    this.register(
      this.services.clock.every(this.options.tickMs, () => this.post({ kind: 'tick' })),
    );
  }

  /** Why the roll-out starts no further step; undefined if it does or this entry has no role. */
  get wait(): RollOutWait | undefined {
    return this.services.role.epoch === undefined ? undefined : this.lastWait;
  }

  protected override handle(message: ControllerMessage): void {
    if (message.kind === 'operation') this.monitor.operation(message.jobId, message.state);
    else if (message.kind === 'checked') this.monitor.checked(message.job, message.healthy);
    else this.tick();
  }

  private tick(): void {
    void this.services.role.tick();
    const { epoch } = this.services.role;
    if (epoch === undefined) return;
    if (epoch !== this.lastEpoch) this.begin(epoch);
    this.observe();
    if (this.isWaitingForReadBack()) return;
    if (this.snapshot(epoch)) return;
    const opened = this.open(epoch);
    if (!opened) this.advance(epoch);
  }

  /** Starts a new term of the role. The previous holder may have had open work when it stopped. */
  private begin(epoch: number): void {
    this.lastEpoch = epoch;
    this.nextSnapshotMs = 0;
    this.monitor.begin();
    this.services.tracker.reset();
    this.services.tracker.expect(this.options.knownEntryIds());
  }

  /** Starts the observations that are due: health checks, the platform's list and the survey. */
  private observe(): void {
    const { clock, survey, config } = this.services;
    const nowMs = clock.monotonicMs();
    this.sweep.tick(config.state().document);
    if (nowMs - this.listedAtMs >= this.options.listPeriodMs) {
      this.listedAtMs = nowMs;
      this.runOnce('list', async () => {
        const list = await this.services.directory.list();
        if (list.isOk()) this.health.list(list.value);
      });
    }
    const idle = Object.keys(this.services.reader.state.jobs).length === 0;
    const periodMs = this.options.surveyPeriodMs * (idle ? IDLE_SURVEY_FACTOR : 1);
    if (nowMs - this.surveyedAtMs < periodMs) return;
    this.surveyedAtMs = nowMs;
    survey.queryEntries();
  }

  /**
   * Appends a snapshot when one is due: at the start of each term, then periodically, well before
   * the records that it covers pass the retention of the log.
   */
  private snapshot(epoch: number): boolean {
    const { clock, reader } = this.services;
    if (clock.monotonicMs() < this.nextSnapshotMs) return false;
    this.nextSnapshotMs = clock.monotonicMs() + SNAPSHOT_PERIOD_MS;
    this.append({ kind: 'maintenance-snapshot', epoch, state: reader.state });
    return true;
  }

  /** Whether an append is in flight or, up to a timeout, has not been read back. */
  private isWaitingForReadBack(): boolean {
    if (this.inFlight.has('append')) return true;
    if (this.services.reader.lastOffset >= this.readBackOffset) return false;
    return this.services.clock.monotonicMs() < this.readBackUntilMs;
  }

  /** Appends the jobs that must be opened; returns false if there are none. */
  private open(epoch: number): boolean {
    const { reader, config, demand } = this.services;
    const opening = new JobOpener({
      document: config.state().document,
      state: reader.state,
      health: this.health,
      demand: demand.demand(),
      newJobId: (purpose, instanceId) => `${purpose}.${instanceId}.${randomUUID()}`,
    }).decide();
    this.lastWait = opening.wait;
    if (MaintenanceController.isEmpty(opening)) return false;
    const { basisOffset } = reader.state;
    const { jobs, settledMoveIds, wantedMoves } = opening;
    this.append({
      kind: 'maintenance-jobs-opened',
      epoch,
      basisOffset,
      jobs: [...jobs],
      settledMoveIds: [...settledMoveIds],
      wantedMoves: [...wantedMoves],
    });
    return true;
  }

  private static isEmpty({ jobs, settledMoveIds, wantedMoves }: OpenerDecision): boolean {
    return jobs.length + settledMoveIds.length + wantedMoves.length === 0;
  }

  /** Decides on the next action of each open job and executes it. */
  private advance(epoch: number): void {
    const { reader, config, demand } = this.services;
    const { document, version } = config.state();
    const { jobs, basisOffset } = reader.state;
    const steps = this.monitor.decide(Object.values(jobs), { document, version }, demand.demand());
    const transitions = steps.flatMap(({ job, action }) =>
      action.kind === 'transition' ? [{ jobId: job.jobId, to: action.to }] : [],
    );
    const dropped = steps.filter(({ action }) => action.kind === 'drop');
    if (transitions.length > 0) {
      this.append({ kind: 'maintenance-transitions', epoch, basisOffset, transitions });
    } else if (dropped.length > 0) {
      const jobIds = dropped.map(({ job }) => job.jobId);
      this.append({ kind: 'maintenance-jobs-dropped', epoch, basisOffset, jobIds });
    }
    const operations = steps.flatMap(({ job, action }) =>
      patchFor(document, job.instanceId, action),
    );
    if (operations.length > 0) {
      const patchId = `maintenance.${epoch}.${randomUUID()}`;
      this.runOnce('patch', async () => {
        await this.services.writer.write({ patchId, baseVersion: version, operations });
      });
    }
    steps.forEach(({ job, action }) => this.execute(epoch, job, action));
  }

  private execute(epoch: number, job: Job, action: JobAction): void {
    if (action.kind === 'reboot') {
      this.runOnce(`reboot ${job.jobId}`, () => this.reboot(epoch, job));
    } else if (action.kind === 'check-health') {
      this.runOnce(`check ${job.jobId}`, () => this.check(job));
    }
  }

  /** The call is idempotent by the job's id, so it can be repeated after a lost answer. */
  private async reboot(epoch: number, job: Job): Promise<void> {
    // Checked directly before the call, as this process may have been paused since the decision.
    if (this.services.role.epoch !== epoch) return;
    const called = await this.services.control.reboot(job.jobId, job.instanceId);
    if (called.isOk()) {
      this.post({ kind: 'operation', jobId: job.jobId, state: called.value });
    } else if (called.error.kind === 'control-refused') {
      this.post({ kind: 'operation', jobId: job.jobId, state: 'failed' });
    }
  }

  private async check(job: Job): Promise<void> {
    const { config, probe, clock } = this.services;
    const address = config.state().document.instances[job.instanceId]?.address;
    if (address === undefined) return;
    const healthy = await probe.isHealthy(job.instanceId, address);
    this.post({ kind: 'checked', job, healthy });
    // Keeps the key in flight for one tick, so that consecutive checks of a job are spaced.
    await clock.sleep(this.options.tickMs);
  }

  private append(record: MaintenanceRecord): void {
    if ('epoch' in record && this.services.role.epoch !== record.epoch) return;
    this.runOnce('append', async () => {
      const appended = await this.services.log.append(CONTROL_STREAM, [record]);
      if (appended.isErr()) return;
      this.readBackOffset = appended.value.firstOffset;
      this.readBackUntilMs = this.services.clock.monotonicMs() + READ_BACK_TIMEOUT_MS;
    });
  }

  /** Makes a call unless one with the same key is in flight. */
  private runOnce(key: string, call: () => Promise<void>): void {
    if (this.inFlight.has(key)) return;
    this.inFlight.add(key);
    void call().finally(() => this.inFlight.delete(key));
  }

  /**
   * What the drain of an instance still waits for, as observed by this controller. Advances the
   * drain, see `DrainTracker.blockers`.
   */
  blockers(instanceId: InstanceId): ReturnType<DrainTracker['blockers']> {
    return this.services.tracker.blockers(instanceId);
  }
}
