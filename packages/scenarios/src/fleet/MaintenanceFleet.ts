/** Entries, stand-ins and the targets of one deployment in one process, for maintenance runs. */
import { randomUUID } from 'node:crypto';
import { type Clock, type InstanceId, Random } from '@acaciadock/core';
import { type PatchOperation } from '@acaciadock/config';
import { Entry, type EntryAddresses, type Settings, settingsSchema } from '@acaciadock/daemon';
import {
  type CommandOutcome,
  type MaintenanceCommand,
  type MaintenanceState,
} from '@acaciadock/maintenance';
import { CONFIG_STREAM } from '@acaciadock/platform';
import {
  ControlStandIn,
  DirectoryStandIn,
  LogStandIn,
  TargetStandIn,
  firstPatch,
  loopbackSettings,
} from '@acaciadock/testkit';
import {
  type Deployment,
  DEPLOYMENT_TARGETS,
  deploymentDocument,
  type DeploymentName,
} from './deploymentDocument.js';
import { FleetLoad } from './FleetLoad.js';
import { FleetObserver } from './FleetObserver.js';

const POLL_MS = 10;

export interface FleetOptions {
  readonly deployment: DeploymentName;
  readonly entries: number;
  readonly rebootMs: number;
  readonly seed: number;
}

/** Short leases and periods, so that a run over all targets takes seconds. */
const MAINTENANCE_TIMING = {
  leaseMs: 1_500,
  tickMs: 50,
  listPeriodMs: 200,
  surveyPeriodMs: 100,
  silentAfterMs: 1_500,
  fenceMs: 3_000,
};

export class MaintenanceFleet {
  readonly log: LogStandIn;

  readonly directory: DirectoryStandIn;

  readonly control: ControlStandIn;

  readonly targets = new Map<InstanceId, TargetStandIn>();

  readonly entries: Entry[] = [];

  readonly addresses: EntryAddresses[] = [];

  private readonly random: Random;

  private deploymentInUse: Deployment | undefined;

  private observerInUse: FleetObserver | undefined;

  constructor(
    private readonly options: FleetOptions,
    private readonly clock: Clock,
  ) {
    this.random = new Random(options.seed);
    this.log = new LogStandIn(clock);
    this.directory = new DirectoryStandIn(clock);
    this.control = new ControlStandIn(clock, options.rebootMs);
  }

  get deployment(): Deployment {
    if (!this.deploymentInUse) throw new Error('the fleet is not started');
    return this.deploymentInUse;
  }

  get observer(): FleetObserver {
    if (!this.observerInUse) throw new Error('the fleet is not started');
    return this.observerInUse;
  }

  get instanceIds(): readonly InstanceId[] {
    return [...this.targets.keys()];
  }

  /** The state of maintenance as the entry that has read furthest knows it. */
  get state(): MaintenanceState {
    const readers = this.entries.map(({ maintenance }) => maintenance.reader);
    const [furthest] = readers.sort((a, b) => b.lastOffset - a.lastOffset);
    if (!furthest) throw new Error('the fleet has no entries');
    return furthest.state;
  }

  /** The entry that holds the controller's role now. */
  get holder(): Entry | undefined {
    return this.entries.find(({ maintenance }) => maintenance.role.epoch !== undefined);
  }

  async start(): Promise<void> {
    await Promise.all([this.log.listen(), this.directory.listen(), this.control.listen()]);
    await this.startTargets();
    const listed = [...this.targets].map(([instanceId, { address }]) => ({ instanceId, address }));
    this.deploymentInUse = deploymentDocument(this.options.deployment, listed);
    this.publish();
    await this.startEntries();
    this.observerInUse = new FleetObserver(this.entries, this.targets, this.control, this.clock);
  }

  async stop(): Promise<void> {
    this.observer.dispose();
    const living = this.entries.filter(({ isDisposed }) => !isDisposed);
    await Promise.all(living.map((entry) => entry.stop()));
    await Promise.all([...this.targets.values()].map((target) => target.close()));
    await Promise.all([this.log.close(), this.directory.close(), this.control.close()]);
  }

  /** A load on every service; each run takes about `runMs`. */
  load(meanGapMs: number, runMs: number): FleetLoad {
    this.targets.forEach((target) => {
      Object.assign(target, { runMs: () => runMs * (0.5 + this.random.next()) });
    });
    return new FleetLoad(
      {
        callerAddresses: this.addresses.map(({ callerAddress }) => callerAddress),
        serviceIds: Object.keys(this.deployment.document.services),
        teamKey: this.deployment.teamKey,
        meanGapMs,
      },
      this.clock,
      new Random(this.options.seed + 1),
    );
  }

  /** Gives a command through the first entry that lives. */
  command(command: MaintenanceCommand): Promise<CommandOutcome> {
    const entry = this.entries.find(({ isDisposed }) => !isDisposed);
    if (!entry) throw new Error('no entry lives');
    return entry.maintenance.commands.submit(randomUUID(), 'scenario', command);
  }

  /** An operator's patch at the newest version, through the log alone. */
  patch(operations: readonly PatchOperation[], baseVersion = this.newestVersion()): void {
    this.log.append(CONFIG_STREAM, [
      {
        kind: 'patch',
        schemaVersion: 1,
        patchId: randomUUID(),
        baseVersion,
        author: 'operator',
        submittedAtMs: this.clock.unixMs(),
        operations,
      },
    ]);
  }

  /** Resolves once `condition` holds; false if it does not within `timeoutMs`. */
  async until(condition: () => boolean, timeoutMs: number): Promise<boolean> {
    const untilMs = this.clock.monotonicMs() + timeoutMs;
    while (!condition()) {
      if (this.clock.monotonicMs() >= untilMs) return false;
      await this.clock.sleep(POLL_MS);
    }
    return true;
  }

  /** Loses a rack: its targets fail their health checks and take nothing. */
  setRackLost(rackId: string, lost: boolean): void {
    const { instances } = this.deployment.document;
    this.targets.forEach((target, instanceId) => {
      if (instances[instanceId]?.rackId === rackId) Object.assign(target, { leaving: lost });
    });
  }

  private newestVersion(): number {
    return Math.max(...this.entries.map(({ follower }) => follower.state().version));
  }

  private async startTargets(): Promise<void> {
    for (let index = 0; index < DEPLOYMENT_TARGETS; index += 1) {
      const instanceId = `t${String(index).padStart(2, '0')}`;
      const target = new TargetStandIn(instanceId, this.clock);
      await target.listen();
      this.targets.set(instanceId, target);
      this.directory.set({ instanceId, role: 'target', state: 'live' });
    }
  }

  private publish(): void {
    const { document } = this.deployment;
    this.log.append(CONFIG_STREAM, [firstPatch(document)]);
  }

  private async startEntries(): Promise<void> {
    const entryIds = Array.from({ length: this.options.entries }, (_, index) => `e${index}`);
    for (const [index, entryId] of entryIds.entries()) {
      this.directory.set({ instanceId: entryId, role: 'entry', state: 'live' });
      const entry = new Entry(this.settingsOf(entryId), this.clock, this.options.seed + index);
      this.entries.push(entry);
      this.addresses.push(await entry.start());
    }
    const isReady = (): boolean =>
      this.entries.every(
        ({ follower, fence, membership }) =>
          follower.state().version > 0 &&
          fence.reason() === undefined &&
          membership.liveEntries().length === entryIds.length,
      );
    await this.until(isReady, Number.POSITIVE_INFINITY);
  }

  private settingsOf(entryId: string): Settings {
    return settingsSchema.parse({
      ...loopbackSettings(entryId, this),
      maintenance: MAINTENANCE_TIMING,
    });
  }
}
