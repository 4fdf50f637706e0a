/**
 * Runs real entries, stand-ins for the platform's services and stand-in targets in one process,
 * connected over loopback sockets. Promise tests and benchmarks inject faults into such a fleet.
 */
import {
  type ConfigDocument,
  EMPTY_DOCUMENT,
  type ServiceConfig,
  TeamKey,
} from '@acaciadock/config';
import { type Clock, SystemClock } from '@acaciadock/core';
import { Entry, type EntryAddresses, settingsSchema } from '@acaciadock/daemon';
import { CONFIG_STREAM } from '@acaciadock/platform';
import {
  ControlStandIn,
  DirectoryStandIn,
  exampleDocument,
  LogStandIn,
  TargetStandIn,
  loopbackSettings,
} from '@acaciadock/testkit';
import { Pool } from 'undici';
import { type CallerAnswer, type CallerRequest, readAnswer } from './CallerAnswer.js';

const POLL_MS = 10;
const TEAM_ID = 'bench-desk';
const DEFAULT_TEAM_LIMIT = 1_000;
const CALLER_CONNECTIONS = 256;

export interface EntryFleetOptions {
  readonly seed: number;
  readonly entries?: number;
  readonly targets?: number;
  readonly slots?: number;
  readonly teamLimit?: number;
  readonly services?: Readonly<Record<string, Partial<ServiceConfig> & { idempotent: boolean }>>;
}

export class EntryFleet {
  readonly log: LogStandIn;

  readonly directory: DirectoryStandIn;

  readonly control: ControlStandIn;

  readonly targets: TargetStandIn[] = [];

  readonly entries: Entry[] = [];

  readonly addresses: EntryAddresses[] = [];

  readonly teamId = TEAM_ID;

  teamKey = '';

  private readonly callers: Pool[] = [];

  /** Version of the configuration after all the patches appended so far. */
  private version = 0;

  constructor(
    private readonly options: EntryFleetOptions,
    readonly clock: Clock = new SystemClock(),
  ) {
    this.log = new LogStandIn(clock);
    this.directory = new DirectoryStandIn(clock);
    this.control = new ControlStandIn(clock);
  }

  async start(): Promise<void> {
    await Promise.all([this.log.listen(), this.directory.listen(), this.control.listen()]);
    await this.startTargets();
    this.publishDocument();
    await this.startEntries();
  }

  async stop(): Promise<void> {
    await Promise.all(this.callers.map((caller) => caller.destroy()));
    await Promise.all(this.entries.map((entry) => (entry.isDisposed ? undefined : entry.stop())));
    await Promise.all(this.targets.map((target) => target.close()));
    await Promise.all([this.log.close(), this.directory.close(), this.control.close()]);
  }

  /** Stops an entry abruptly, as a crash does: its connections are closed at once. */
  kill(index: number): void {
    this.entries[index]?.dispose();
  }

  /** Starts a new entry with the id of an entry that has stopped, and waits until it has joined. */
  async replace(index: number): Promise<void> {
    await this.callers[index]?.destroy();
    const entry = this.createEntry(`e${index}`, index);
    this.entries[index] = entry;
    this.addresses[index] = await entry.start();
    this.callers[index] = this.createCallerPool(index);
    await this.waitForVersion(this.version);
    await this.waitUntilJoined();
  }

  /** Appends a configuration patch and waits until every running entry has applied it. */
  async patch(operations: readonly unknown[]): Promise<void> {
    this.appendPatch(operations);
    await this.waitForVersion(this.version);
  }

  /** Sends a request to an entry and reads the response to the end. */
  async send(index: number, request: CallerRequest): Promise<CallerAnswer> {
    const { serviceId = 'advice', headers = {}, body = '', signal } = request;
    const caller = this.callers[index];
    if (!caller) throw new RangeError(`there is no entry with index ${index}`);
    return readAnswer(() =>
      caller.request({
        method: 'POST',
        path: `/v1/services/${serviceId}/requests`,
        headers: { authorization: `Bearer ${this.teamKey}`, ...headers },
        body,
        ...(signal ? { signal } : {}),
      }),
    );
  }

  /** Number of runs of a job, summed over all targets. */
  runsOf(job: string): number {
    return this.targets.reduce(
      (sum, { runs }) => sum + runs.filter((run) => run.job === job).length,
      0,
    );
  }

  private async startTargets(): Promise<void> {
    const { targets = 4, slots } = this.options;
    for (let index = 0; index < targets; index += 1) {
      const target = new TargetStandIn(`t${index}`, this.clock, slots);
      await target.listen();
      this.targets.push(target);
      this.directory.set({ instanceId: target.targetId, role: 'target', state: 'live' });
    }
  }

  private publishDocument(): void {
    const { teamLimit = DEFAULT_TEAM_LIMIT, slots = 8 } = this.options;
    const services = this.options.services ?? { advice: { idempotent: true } };
    const document = exampleDocument({
      targets: this.targets.map(({ targetId, address }) => ({ instanceId: targetId, address })),
      teams: { [TEAM_ID]: { share: 1, limit: teamLimit } },
      services,
    });
    Object.values(document.instances).forEach((instance) => Object.assign(instance, { slots }));
    Object.entries(services).forEach(([serviceId, changes]) => {
      Object.assign(document.services[serviceId] ?? {}, changes);
    });
    this.addTeamKey(document);
    this.appendPatch(
      Object.keys(EMPTY_DOCUMENT).map((field) => ({
        op: 'replace',
        path: `/${field}`,
        value: document[field as keyof typeof document],
      })),
    );
  }

  private addTeamKey(document: ConfigDocument): void {
    const { keyId, key, sha256 } = TeamKey.create(TEAM_ID);
    this.teamKey = key;
    const team = document.teams[TEAM_ID];
    if (team) team.keys[keyId] = { sha256, grantedAtMs: this.clock.unixMs(), note: '' };
  }

  private appendPatch(operations: readonly unknown[]): void {
    this.log.append(CONFIG_STREAM, [
      {
        kind: 'patch',
        schemaVersion: 1,
        patchId: `patch-${this.version}`,
        baseVersion: this.version,
        author: 'test',
        submittedAtMs: this.clock.unixMs(),
        operations,
      },
    ]);
    this.version += 1;
  }

  private async startEntries(): Promise<void> {
    for (let index = 0; index < this.entryCount; index += 1) {
      const entry = this.createEntry(`e${index}`, index);
      this.entries.push(entry);
      this.addresses.push(await entry.start());
      this.callers.push(this.createCallerPool(index));
    }
    await this.waitForVersion(this.version);
    await this.waitUntilJoined();
  }

  private get entryCount(): number {
    return this.options.entries ?? 1;
  }

  private createEntry(entryId: string, index: number): Entry {
    this.directory.set({ instanceId: entryId, role: 'entry', state: 'live' });
    const settings = settingsSchema.parse(loopbackSettings(entryId, this));
    return new Entry(settings, this.clock, this.options.seed + index);
  }

  private createCallerPool(index: number): Pool {
    const address = this.addresses[index]?.callerAddress;
    return new Pool(`http://${address}`, { connections: CALLER_CONNECTIONS });
  }

  /** Waits until every running entry may start work and sees all the others as live. */
  private async waitUntilJoined(): Promise<void> {
    const running = this.entries.filter((entry) => !entry.isDisposed);
    const hasJoined = ({ fence, membership }: Entry): boolean =>
      fence.reason() === undefined && membership.liveEntries().length === running.length;
    while (!running.every(hasJoined)) await this.clock.sleep(POLL_MS);
  }

  private async waitForVersion(version: number): Promise<void> {
    const isBehind = (entry: Entry): boolean =>
      !entry.isDisposed && entry.follower.state().version < version;
    while (this.entries.some(isBehind)) await this.clock.sleep(POLL_MS);
  }
}
