/**
 * Models a fleet of entries in virtual time. The dispatchers and work reporters are real; links,
 * gateways and targets are models. The teams of a pool keep a constant number of requests open in
 * it, so that their queues stay full.
 */
import { type EntryId, Random, type ServiceId, type TeamId } from '@acaciadock/core';
import { type ConfigDocument, configDocumentSchema } from '@acaciadock/config';
import { OpenFence } from '@acaciadock/membership';
import { Dispatcher, LeavingWatch, PoolHomes, WorkReporter } from '@acaciadock/scheduling';
import { FleetMembers } from './FleetMembers.js';
import { FleetNetwork } from './FleetNetwork.js';
import { FleetSwitch } from './FleetSwitch.js';
import { UnlimitedCredits } from './UnlimitedCredits.js';
import { UnreachableControl } from './UnreachableControl.js';
import { EmptyDirectory } from './EmptyDirectory.js';
import { type FleetRequest, ModelGateway } from './ModelGateway.js';
import { ModelTargets } from './ModelTargets.js';
import { StaticConfig } from './StaticConfig.js';
import { VirtualClock } from './VirtualClock.js';

const DEADLINE_MS = 10_000_000;
const LEASE_MS = 10_000;

export interface FleetPool {
  readonly poolId: string;
  readonly targets: number;
  /** Teams that keep their queues full in this pool. */
  readonly teams: readonly TeamId[];
}

export interface FleetOptions {
  readonly entries: number;
  readonly pools: readonly FleetPool[];
  readonly slots: number;
  readonly shares: Readonly<Record<TeamId, number>>;
  /** True mean run time of the requests of each team. */
  readonly runMs: Readonly<Record<TeamId, number>>;
  readonly declaredRunMs: number;
  /** Fraction of the requests that are urgent; the first ones, which fill the queues, are not. */
  readonly urgentRatio: number;
  /** Whether the same fraction of the first requests is urgent as well. */
  readonly urgentFlood?: boolean;
  /** Requests that each team keeps waiting or running in each pool. */
  readonly outstanding: number;
  readonly seed: number;
}

interface FleetEntry {
  readonly entryId: EntryId;
  readonly dispatcher: Dispatcher;
  readonly reporter: WorkReporter;
  readonly gateway: ModelGateway;
}

function documentOf(options: FleetOptions): ConfigDocument {
  const { pools, slots, shares, declaredRunMs } = options;
  const instances = pools.flatMap(({ poolId, targets }) =>
    Array.from({ length: targets }, (_, index) => [
      `${poolId}-t${index}`,
      {
        poolId,
        zoneId: 'z',
        rackId: `${poolId}-r${index}`,
        address: '127.0.0.1:1',
        cores: 16,
        memoryBytes: 1,
        slots,
      },
    ]),
  );
  const service = {
    idempotent: true,
    availabilityTarget: 0.999,
    latencyObjectiveMs: 2_000,
    defaultDeadlineMs: 10_000,
    maxDeadlineMs: DEADLINE_MS,
    declaredRunMs,
    taskLeaseMs: LEASE_MS,
  };
  return configDocumentSchema.parse({
    schemaVersion: 1,
    deploymentName: 'bench',
    regionId: 'region',
    zones: { z: {} },
    pools: Object.fromEntries(pools.map(({ poolId }) => [poolId, { role: 'service' }])),
    instances: Object.fromEntries(instances),
    services: Object.fromEntries(pools.map(({ poolId }) => [poolId, { ...service, poolId }])),
    teams: Object.fromEntries(
      Object.entries(shares).map(([teamId, share]) => [teamId, { share, limit: 1_000_000 }]),
    ),
    policy: { weights: { bufferCost: 1, rollOutTime: 2, moves: 1, shareError: 2 } },
  });
}

export class FleetModel {
  readonly targets: ModelTargets;

  readonly members: FleetMembers;

  private readonly clock = new VirtualClock();

  private readonly links = new FleetSwitch(this.clock);

  private readonly random: Random;

  private readonly entries = new Map<EntryId, FleetEntry>();

  private nextRequest = 0;

  constructor(private readonly options: FleetOptions) {
    this.random = new Random(options.seed);
    this.targets = new ModelTargets(this.clock, options.slots);
    const entryIds = Array.from({ length: options.entries }, (_, index) => `e${index}`);
    this.members = new FleetMembers(entryIds);
    const document = documentOf(options);
    entryIds.forEach((entryId) => this.entries.set(entryId, this.createEntry(entryId, document)));
    options.pools.forEach(({ poolId, teams }) =>
      teams.forEach((teamId) => {
        for (let count = 0; count < options.outstanding; count += 1) {
          this.request(poolId, teamId, options.urgentFlood ? options.urgentRatio : 0);
        }
      }),
    );
  }

  /** The current home of each pool. */
  homes(): readonly EntryId[] {
    return this.options.pools.map(({ poolId }) => this.members.rankedHomes(poolId)[0] ?? '');
  }

  /**
   * Kills entries now; the others notice after `noticeDelayMs`. New requests of the same teams then
   * replace the lost ones at other entries.
   */
  kill(entryIds: readonly EntryId[], noticeDelayMs: number): void {
    const lost = entryIds.flatMap((entryId) => this.killEntry(entryId));
    this.clock.after(noticeDelayMs, () => {
      this.members.remove(entryIds);
      lost.forEach(({ serviceId, teamId }) => this.request(serviceId, teamId));
    });
  }

  async runUntil(untilMs: number): Promise<void> {
    while (this.clock.step(untilMs)) {
      // Tasks handle their mailboxes in microtasks, which all complete before the next step.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  private killEntry(entryId: EntryId): FleetRequest[] {
    const entry = this.entries.get(entryId);
    if (!entry) return [];
    const lost = entry.gateway.requests();
    this.links.alive.delete(entryId);
    this.entries.delete(entryId);
    entry.dispatcher.dispose();
    entry.reporter.dispose();
    entry.gateway.dispose();
    return lost;
  }

  private createEntry(entryId: EntryId, document: ConfigDocument): FleetEntry {
    const { clock, members } = this;
    const config = new StaticConfig({ version: 1, offset: 0, document });
    const network = new FleetNetwork(entryId, this.links);
    const homes = new PoolHomes(members, config);
    const dispatcher = new Dispatcher({
      config,
      credits: new UnlimitedCredits(clock),
      fence: new OpenFence(),
      homes,
      network,
      leaving: new LeavingWatch(new EmptyDirectory(), clock),
      control: new UnreachableControl(),
      clock,
      random: new Random(this.options.seed),
      incarnation: entryId,
    });
    const reporter = new WorkReporter(homes, network, clock);
    const gateway = new ModelGateway(homes, network, this.targets, clock);
    return { entryId, dispatcher, reporter, gateway };
  }

  private request(
    serviceId: ServiceId,
    teamId: TeamId,
    urgentRatio = this.options.urgentRatio,
  ): void {
    const entry = this.random.pick([...this.entries.values()]);
    if (!entry) return;
    this.nextRequest += 1;
    const meanMs = this.options.runMs[teamId] ?? 0;
    const request: FleetRequest = {
      requestId: `x${this.nextRequest}`,
      serviceId,
      teamId,
      urgency: this.random.chance(urgentRatio) ? 'urgent' : 'background',
      runMs: meanMs * (0.5 + this.random.next()),
    };
    entry.gateway.submit(request, DEADLINE_MS, () => this.request(serviceId, teamId));
  }
}
