/** Runs a roll-out over a deployment under load, through the real path, and injects its faults. */
import { type Clock, type InstanceId } from '@acaciadock/core';
import { type InstanceState } from '@acaciadock/maintenance';
import { type DeploymentName, MaintenanceFleet } from '@acaciadock/scenarios';

const ENTRIES = 6;
const REBOOT_MS = 200;
const RUN_MS = 60;
const MEAN_GAP_MS = 40;
const START_TIMEOUT_MS = 10_000;
const RACK_OUTAGE_MS = 3_000;

export interface TrialOptions {
  readonly deployment: DeploymentName;
  readonly seed: number;
  /** Number of instances to reboot; all if omitted. */
  readonly instances?: number;
  /** Kills the controller as soon as a job is seen in this state. */
  readonly killAt?: InstanceState;
  /** Kills the controller's entire entry with it, including its open requests. */
  readonly killEntry?: boolean;
  /** Takes a rack down as soon as a job of the first wave is open. */
  readonly loseRack?: boolean;
  readonly timeoutMs: number;
}

export interface TrialResult {
  readonly finished: boolean;
  readonly tookMs: number;
  readonly sent: number;
  readonly answered: number;
  readonly notRun: number;
  /** Requests that ended without a complete answer after the work may have run. */
  readonly cutRequests: number;
  /** Runs that were active on a target at the moment of its planned reboot. */
  readonly cutRuns: number;
  /** Runs that started on a closed target more than 3 s after it was closed. */
  readonly lateRuns: number;
  /** Longest time between closing a target and a later start of a run on it. */
  readonly longestLateMs: number;
  readonly budgetBreaches: number;
  readonly rebooted: number;
  /** Reboots beyond the first of each instance. */
  readonly rebootedTwice: number;
  readonly moves: number;
  /** Maximum number of instances out of service at the same time. */
  readonly mostOut: number;
  readonly kills: number;
  /** The load's problems as JSON. */
  readonly problems: string;
}

export class RollOutTrial {
  private readonly fleet: MaintenanceFleet;

  private kills = 0;

  private rackLost = false;

  constructor(
    private readonly options: TrialOptions,
    private readonly clock: Clock,
  ) {
    const { deployment, seed } = options;
    this.fleet = new MaintenanceFleet(
      { deployment, seed, entries: ENTRIES, rebootMs: REBOOT_MS },
      clock,
    );
  }

  async run(): Promise<TrialResult> {
    const { fleet } = this;
    await fleet.start();
    const load = fleet.createLoad(MEAN_GAP_MS, RUN_MS);
    load.start();
    await fleet.waitUntil(() => fleet.controllerEntry !== undefined, START_TIMEOUT_MS);
    const startedAtMs = this.clock.monotonicMs();
    const instanceIds = this.instancesToReboot();
    const command = { action: 'start-roll-out', rollOutId: 'bench', racksAtOnce: 1 } as const;
    await fleet.command({ ...command, instanceIds: [...instanceIds] });
    const finished = await fleet.waitUntil(() => this.pollRollOut(), this.options.timeoutMs);
    const tookMs = this.clock.monotonicMs() - startedAtMs;
    await load.stop();
    fleet.observer.finish();
    const { observer, state } = fleet;
    const result: TrialResult = {
      finished,
      tookMs,
      sent: load.sent,
      answered: load.answered,
      notRun: load.notRun,
      cutRequests: load.cut,
      cutRuns: observer.cutRuns,
      lateRuns: observer.lateRuns,
      longestLateMs: observer.longestLateMs,
      budgetBreaches: observer.budgetBreaches,
      rebooted: new Set(observer.rebooted).size,
      rebootedTwice: observer.rebooted.length - new Set(observer.rebooted).size,
      moves: state.rollOut?.moves ?? 0,
      mostOut: observer.maxOutOfService,
      kills: this.kills,
      problems: JSON.stringify(Object.fromEntries(load.problems)),
    };
    await fleet.stop();
    return result;
  }

  private instancesToReboot(): readonly InstanceId[] {
    const { instanceIds } = this.fleet;
    return instanceIds.slice(0, this.options.instances ?? instanceIds.length);
  }

  /** Injects the faults that are due; returns whether the roll-out is done and no job is open. */
  private pollRollOut(): boolean {
    this.injectFaults();
    const { rollOut, jobs } = this.fleet.state;
    if (rollOut?.status !== 'done' || rollOut.lent.length > 0) return false;
    return Object.keys(jobs).length === 0;
  }

  private injectFaults(): void {
    const jobs = Object.values(this.fleet.state.jobs);
    if (this.options.loseRack && !this.rackLost && jobs.length > 0) this.loseRack(jobs.length);
    const { killAt } = this.options;
    if (killAt === undefined || this.kills > 0) return;
    if (!jobs.some(({ state }) => state === killAt)) return;
    const { controllerEntry } = this.fleet;
    if (!controllerEntry) return;
    this.kills += 1;
    if (this.options.killEntry) {
      controllerEntry.dispose();
      return;
    }
    controllerEntry.maintenance.controller.dispose();
    controllerEntry.maintenance.role.dispose();
  }

  /** Takes down the rack of the first instance that has no job, and brings it back later. */
  private loseRack(jobCount: number): void {
    if (jobCount === 0) return;
    this.rackLost = true;
    const busy = new Set(Object.values(this.fleet.state.jobs).map((job) => job.instanceId));
    const { instances } = this.fleet.deployment.document;
    const free = Object.entries(instances).find(([id]) => !busy.has(id));
    const rackId = free?.[1].rackId ?? '';
    this.fleet.setRackLost(rackId, true);
    this.clock.after(RACK_OUTAGE_MS, () => this.fleet.setRackLost(rackId, false));
  }
}
