/** One entry's process in virtual time: its election and, while it owns the journal, coordinator. */
import {
  Coordinator,
  type InstanceFleet,
  type JobCall,
  type JobReply,
  type TargetRegistry,
  type UpkeepWave,
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
import { type ManualClock, type Random, SilentLogger } from '@acaciadock/core';
import { type JobsConfigView } from '@acaciadock/jobs';
import { type OwnerNotice, type PeerAnswer } from '@acaciadock/journal';
import { err, ok } from 'neverthrow';
import { Election } from '../Election.js';

export const MOST_LEASE_MS = 6_000;
const PEER_LATENCY_MS = 2;
const KEEP_FINISHED_MS = 120_000;

export interface SimulatedSurroundings {
  readonly clock: ManualClock;
  readonly random: Random;
  readonly store: SimulatedStore;
  /** The other processes, by entry. */
  readonly entries: ReadonlyMap<string, SimulatedEntry>;
  readonly targets: ReadonlyMap<string, SimulatedTarget>;
  readonly config: JobsConfigView;
  /** Undefined where instances can't be moved. */
  readonly fleet: InstanceFleet | undefined;
  readonly waves: readonly UpkeepWave[];
}

export class SimulatedEntry {
  readonly storeFaults: StoreFaults = { isDown: false, lostAnswerShare: 0, latencyMs: 0 };

  readonly portFaults: PortFaults = { cutTargets: new Set(), lateOrderShare: 0 };

  readonly clock: PausableClock;

  /** Its way to the targets. */
  readonly port: SimulatedPort;

  private readonly election: Election;

  private coordinator: Coordinator | undefined;

  private isIsolated = false;

  constructor(
    entryId: string,
    private readonly around: SimulatedSurroundings,
    cpuMilli: number,
  ) {
    const { clock: base, store, random, targets, config } = around;
    this.clock = new PausableClock(base);
    const { clock } = this;
    this.port = new SimulatedPort(targets, this.portFaults, clock, base, random);
    const logger = new SilentLogger();
    const self = { entryId, bootMs: base.unixMs(), peerAddress: `${entryId}:1`, cpuMilli };
    this.election = new Election(self, {
      group: new SimulatedGroup(store, clock, this.storeFaults),
      peers: { ask: (address, told) => this.askPeer(address, told) },
      log: new SimulatedLog(store, clock, this.storeFaults),
      clock,
      logger,
    });
    this.election.onOwned(({ ownership, owned, isFormerOwnerOver }) => {
      this.coordinator = new Coordinator(
        owned,
        {
          isFormerOwnerOver,
          mostLeaseMs: MOST_LEASE_MS,
          keepFinishedMs: KEEP_FINISHED_MS,
          holderId: entryId,
          bootMs: self.bootMs,
          isProcessOver: () => false,
          dutyHandoverMs: 3_000,
          upkeepMs: 2_000,
        },
        {
          ownership,
          registry: { list: () => this.listTargets() },
          port: this.port,
          advice: {
            advise: () => Promise.resolve(err({ kind: 'advice-unavailable', detail: 'none' })),
          },
          fleet: around.fleet,
          reports: { publish: () => Promise.resolve(ok(undefined)) },
          waves: () => around.waves,
          clock,
          logger,
          config: () => config,
        },
      );
      this.coordinator.start();
    });
    void this.election.run();
  }

  /** The entry that this one takes for the owner. */
  get knownOwnerId(): string | undefined {
    return this.election.owner?.entryId;
  }

  get isOwner(): boolean {
    return this.election.isOwner;
  }

  /** Calls the coordinator here; undefined if there is none. */
  call(call: JobCall): Promise<JobReply> | undefined {
    if (!this.isOwner || this.clock.isPaused) return undefined;
    return this.coordinator?.call(call);
  }

  /** Asks who the owner is, as a call that finds none does. */
  refreshOwner(): Promise<void> {
    return this.election.refreshOwner();
  }

  /** Neither do peers answer it any more, nor it them. */
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

  private askPeer(address: string, told?: OwnerNotice): Promise<PeerAnswer | undefined> {
    const peer = [...this.around.entries].find(([entryId]) => address === `${entryId}:1`)?.[1];
    return new Promise((resolve) => {
      this.clock.after(PEER_LATENCY_MS, () => {
        const isReached = peer && !this.isIsolated && !peer.isIsolated && !peer.clock.isPaused;
        resolve(isReached ? peer.election.exchangeNotice(told) : undefined);
      });
    });
  }

  private listTargets(): ReturnType<TargetRegistry['list']> {
    return Promise.resolve(ok(this.entries()));
  }

  private entries(): SimulatedTarget['entry'][] {
    return [...this.around.targets.values()]
      .filter((target) => target.isListed)
      .map((target) => target.entry);
  }
}
