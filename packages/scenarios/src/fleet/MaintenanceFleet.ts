/** Runs entries, platform stand-ins and a deployment's targets in one process, to test maintenance. */
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

export interface MaintenanceFleetOptions {
  readonly deployment: DeploymentName;
  readonly entries: number;
  readonly rebootMs: number;
  readonly seed: number;
}

/** Short leases and periods, so that maintenance of all targets takes seconds. */
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

  private currentDeployment: Deployment | undefined;

  private currentObserver: FleetObserver | undefined;

  constructor(
    private readonly options: MaintenanceFleetOptions,
    private readonly clock: Clock,
  ) {
    this.random = new Random(options.seed);
    this.log = new LogStandIn(clock);
    this.directory = new DirectoryStandIn(clock);
    this.control = new ControlStandIn(clock, options.rebootMs);
  }

  get deployment(): Deployment {
    if (!this.currentDeployment) throw new Error('the fleet has not been started');
    return this.currentDeployment;
  }

  get observer(): FleetObserver {
    if (!this.currentObserver) throw new Error('the fleet has not been started');
    return this.currentObserver;
  }

  get instanceIds(): readonly InstanceId[] {
    return [...this.targets.keys()];
  }

  /** The maintenance state at the entry that has read the control stream furthest. */
  get state(): MaintenanceState {
    const readers = this.entries.map(({ maintenance }) => maintenance.reader);
    const [furthest] = readers.sort((a, b) => b.lastOffset - a.lastOffset);
    if (!furthest) throw new Error('the fleet has no entries');
    return furthest.state;
  }

  /** The entry that currently holds the maintenance controller's role. */
  get controllerEntry(): Entry | undefined {
    return this.entries.find(({ maintenance }) => maintenance.role.epoch !== undefined);
  }

  async start(): Promise<void> {
    await Promise.all([this.log.listen(), this.directory.listen(), this.control.listen()]);
    await this.startTargets();
    const listed = [...this.targets].map(([instanceId, { address }]) => ({ instanceId, address }));
    this.currentDeployment = deploymentDocument(this.options.deployment, listed);
    this.publishDocument();
    await this.startEntries();
    this.currentObserver = new FleetObserver(this.entries, this.targets, this.control, this.clock);
  }

  async stop(): Promise<void> {
    this.observer.dispose();
    const running = this.entries.filter(({ isDisposed }) => !isDisposed);
    await Promise.all(running.map((entry) => entry.stop()));
    await Promise.all([...this.targets.values()].map((target) => target.close()));
    await Promise.all([this.log.close(), this.directory.close(), this.control.close()]);
  }

  /** Creates a load on every service; a run takes 0.5 to 1.5 times `runMs`. */
  createLoad(meanGapMs: number, runMs: number): FleetLoad {
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

  /** Submits a maintenance command through the first running entry. */
  command(command: MaintenanceCommand): Promise<CommandOutcome> {
    const entry = this.entries.find(({ isDisposed }) => !isDisposed);
    if (!entry) throw new Error('no entry is running');
    return entry.maintenance.commands.submit(randomUUID(), 'scenario', command);
  }

  /** Appends an operator's patch directly to the log, by default based on the newest version. */
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

  /** Waits for `condition`; resolves to false if it is not met within `timeoutMs`. */
  async waitUntil(condition: () => boolean, timeoutMs: number): Promise<boolean> {
    const untilMs = this.clock.monotonicMs() + timeoutMs;
    while (!condition()) {
      if (this.clock.monotonicMs() >= untilMs) return false;
      await this.clock.sleep(POLL_MS);
    }
    return true;
  }

  /** While a rack is lost, its targets fail their health checks and refuse new work. */
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

  private publishDocument(): void {
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
    await this.waitUntil(isReady, Number.POSITIVE_INFINITY);
  }

  private settingsOf(entryId: string): Settings {
    return settingsSchema.parse({
      ...loopbackSettings(entryId, this),
      maintenance: MAINTENANCE_TIMING,
    });
  }
}
