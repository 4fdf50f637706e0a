/**
 * Simulates the process of one entry in virtual time: its election and, while it owns the journal,
 * its coordinator.
 */
import {
  Coordinator,
  type EvacuationRequests,
  type InstanceFleet,
  type JobCall,
  type JobReply,
  type Ownership,
  TargetConnector,
  type TargetRegistry,
  type UpkeepWave,
  WarmUp,
} from '@acaciadock/coordinator';
import {
  PausableClock,
  type PortFaults,
  SimulatedGroup,
  SimulatedLog,
  SimulatedPort,
  type SimulatedStore,
  type SimulatedTarget,
  type StoreFaults,
} from '@acaciadock/coordinator/testing';
import { type IDisposable, type Logger, type ManualClock, type Random } from '@acaciadock/core';
import { type JobsConfigView } from '@acaciadock/jobs';
import { type GroupMember, type OwnerNotice, type PeerAnswer } from '@acaciadock/journal';
import { err, ok } from 'neverthrow';
import { Election } from '../Election.js';
import { RelayedTargetPort } from '../relay/RelayedTargetPort.js';
import { RelaySelection } from '../relay/RelaySelection.js';
import { SimulatedRelayLink } from './SimulatedRelayLink.js';

export const MAX_LEASE_MS = 6_000;
const PEER_LATENCY_MS = 2;
const WATCH_PERIOD_MS = 20;
const KEEP_FINISHED_MS = 120_000;

/** Interval at which the operator's records are read, in milliseconds. */
const FEED_PERIOD_MS = 100;

export interface SimulatedEnvironment {
  readonly clock: ManualClock;
  readonly random: Random;
  readonly store: SimulatedStore;
  /** All running entries by ID, including this one. */
  readonly entries: ReadonlyMap<string, SimulatedEntry>;
  readonly targets: ReadonlyMap<string, SimulatedTarget>;
  readonly config: JobsConfigView;
  /** Undefined if instances can't be moved. */
  readonly fleet: InstanceFleet | undefined;
  readonly waves: readonly UpkeepWave[];
  /** Orders to instances that the platform accepts in a second. */
  readonly ordersPerS: number;
  /** Longest lease that a target grants, on its own clock. */
  readonly maxLeaseMs: number;
  /** Whether jobs that would end too late are refused. */
  readonly refusesOverload: boolean;
  readonly evacuatedZones: ReadonlyMap<string, number>;
  /** Bound on starts in an evacuated zone, in milliseconds; undefined if there is none. */
  readonly evacuateMs: number | undefined;
  /** Share of the time in which the event loop of an entry counts as busy. */
  readonly ownerBusyShare: number;
  /** Whether other entries relay the calls of a busy owner to targets. */
  readonly hasRelays: boolean;
  /** Time that a message between the owner and a relay takes. */
  readonly relayLatencyMs: number;
  readonly logger: Logger;
}

export class SimulatedEntry {
  readonly storeFaults: StoreFaults = { isDown: false, lostAnswerShare: 0, latencyMs: 0 };

  readonly portFaults: PortFaults = { cutTargets: new Set(), lateOrderShare: 0 };

  readonly clock: PausableClock;

  /** Sends orders and queries to the targets. */
  readonly port: SimulatedPort;

  private readonly election: Election;

  private readonly warmUp: WarmUp;

  private readonly connector: TargetConnector;

  private coordinator: Coordinator | undefined;

  isIsolated = false;

  /** While true, the entry can't read the operator's records. */
  isFeedCut = false;

  private evacuationRequests: EvacuationRequests = {
    zones: new Map(),
    asOfMs: -Infinity,
    asOfUnixMs: -Infinity,
  };

  constructor(
    entryId: string,
    private readonly environment: SimulatedEnvironment,
    cpuMilli: number,
  ) {
    const { clock: base, store, random, targets, config } = environment;
    this.clock = new PausableClock(base);
    const { clock } = this;
    this.port = new SimulatedPort(targets, this.portFaults, clock, base, random);
    const { logger } = environment;
    this.readEvacuations();
    clock.every(FEED_PERIOD_MS, () => this.readEvacuations());
    const self = { entryId, bootMs: base.unixMs(), peerAddress: `${entryId}:1`, cpuMilli };
    this.election = new Election(self, {
      group: new SimulatedGroup(store, clock, this.storeFaults),
      peers: {
        exchangeNotice: (address, knownNotice) => this.askPeer(address, knownNotice),
        watch: (address, onRefused) => this.watchPeer(address, onRefused),
      },
      log: new SimulatedLog(store, clock, this.storeFaults),
      clock,
      logger,
      prepare: async (records, ownerEpoch, signal) => {
        await Promise.all([
          this.connector.connect(ownerEpoch, signal),
          this.warmUp.run(records, signal),
        ]);
      },
    });
    const options = {
      maxLeaseMs: environment.maxLeaseMs,
      keepFinishedMs: KEEP_FINISHED_MS,
      holderId: entryId,
      bootMs: self.bootMs,
      hasProcessExited: () => false,
      orderSeparationMs: 3_000,
      upkeepMs: 2_000,
      ordersPerS: environment.ordersPerS,
      evacuateMs: environment.evacuateMs,
      moveMs: 1_500,
      refusesOverload: environment.refusesOverload,
    };
    const context = {
      registry: { list: () => this.listTargets() },
      waves: () => environment.waves,
      evacuationRequests: () => this.evacuationRequests,
      clock,
      config: () => config,
    };
    this.warmUp = new WarmUp(options, context);
    this.connector = new TargetConnector(context.registry, this.port);
    this.election.onOwned(({ ownership, owned, hasPreviousOwnerStopped, inheritedLeaseMs }) => {
      this.coordinator = new Coordinator(
        owned,
        { ...options, hasPreviousOwnerStopped, inheritedLeaseMs },
        {
          ...context,
          ownership,
          port: environment.hasRelays ? this.createRelayedPort(self, ownership) : this.port,
          advice: {
            advise: () => Promise.resolve(err({ kind: 'advice-unavailable', detail: 'none' })),
          },
          fleet: environment.fleet,
          reports: { publish: () => Promise.resolve(ok(undefined)) },
          logger,
          busyMs: () => clock.monotonicMs() * environment.ownerBusyShare,
        },
      );
      this.coordinator.start();
    });
    void this.election.run();
  }

  private createRelayedPort(self: GroupMember, ownership: Ownership): RelayedTargetPort {
    const { clock, environment } = this;
    const relays = new RelaySelection({
      self,
      members: () => this.election.members,
      busyMs: () => clock.monotonicMs() * environment.ownerBusyShare,
      createLink: (member) => {
        const peer = environment.entries.get(member.entryId) ?? this;
        return new SimulatedRelayLink(this, peer, environment.clock, environment.relayLatencyMs);
      },
      wasPreviousBusy: false,
      clock,
      logger: environment.logger,
    });
    ownership.onEnd(() => relays.dispose());
    return new RelayedTargetPort(this.port, relays);
  }

  /** The ID of the entry that this one considers the owner. */
  get knownOwnerId(): string | undefined {
    return this.election.owner?.entryId;
  }

  get isOwner(): boolean {
    return this.election.isOwner;
  }

  /** The coordinator while this entry owns the journal. */
  get ownedCoordinator(): Coordinator | undefined {
    return this.isOwner ? this.coordinator : undefined;
  }

  /** Calls this entry's coordinator; undefined if it has none or is paused. */
  call(call: JobCall): Promise<JobReply> | undefined {
    if (!this.isOwner || this.clock.isPaused) return undefined;
    return this.coordinator?.call(call);
  }

  /** Looks up the owner, as a call that finds no coordinator does. */
  refreshOwner(): Promise<void> {
    return this.election.refreshOwner();
  }

  /** Cuts the entry off from its peers in both directions. */
  isolate(): void {
    this.isIsolated = true;
  }

  kill(): void {
    this.clock.kill();
  }

  /** A planned stop. */
  leave(): Promise<void> {
    return this.election.leave();
  }

  private readEvacuations(): void {
    if (this.isFeedCut) return;
    this.evacuationRequests = {
      zones: new Map(this.environment.evacuatedZones),
      asOfMs: this.clock.monotonicMs(),
      asOfUnixMs: this.clock.unixMs(),
    };
  }

  private askPeer(address: string, knownNotice?: OwnerNotice): Promise<PeerAnswer | undefined> {
    const peer = [...this.environment.entries].find(([entryId]) => address === `${entryId}:1`)?.[1];
    return new Promise((resolve) => {
      this.clock.after(PEER_LATENCY_MS, () => {
        const isReached = peer && !this.isIsolated && !peer.isIsolated && !peer.clock.isPaused;
        resolve(isReached ? peer.election.exchangeNotice(knownNotice) : undefined);
      });
    });
  }

  /** A killed process is missing among the entries until its entry starts again. */
  private watchPeer(address: string, onRefused: () => void): IDisposable {
    return this.clock.every(WATCH_PERIOD_MS, () => {
      const isListening = [...this.environment.entries.keys()].includes(
        address.split(':')[0] ?? '',
      );
      if (!isListening) onRefused();
    });
  }

  private listTargets(): ReturnType<TargetRegistry['list']> {
    return Promise.resolve(ok(this.entries()));
  }

  /** The registrations of all listed targets. */
  private entries(): SimulatedTarget['entry'][] {
    return [...this.environment.targets.values()]
      .filter((target) => target.isListed)
      .map((target) => target.entry);
  }
}
