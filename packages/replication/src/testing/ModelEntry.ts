/** The configuration components of one entry, with its own connections to the log and to peers. */
import { type Clock, Disposable, type EntryId, type Random } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { type LogStore, MemoryLogService } from '@acaciadock/testkit';
import { ConfigFollower } from '../ConfigFollower.js';
import { PatchSubmitter } from '../PatchSubmitter.js';
import { SnapshotPublisher } from '../SnapshotPublisher.js';
import { type SnapshotScheduleOptions } from '../SnapshotSchedule.js';
import { type MemoryPeerHub } from './MemoryPeerHub.js';
import { MemoryPeerNetwork } from './MemoryPeerNetwork.js';

const HEARTBEAT_MS = 500;

export interface ModelEntryOptions {
  readonly initial: ConfigDocument;
  readonly snapshots: SnapshotScheduleOptions;
}

export class ModelEntry extends Disposable {
  /** This entry's connection to the log, into which tests inject faults. */
  readonly way: MemoryLogService;

  readonly follower: ConfigFollower;

  readonly submitter: PatchSubmitter;

  private readonly network: MemoryPeerNetwork;

  constructor(
    readonly entryId: EntryId,
    store: LogStore,
    private readonly hub: MemoryPeerHub,
    private readonly clock: Clock,
    random: Random,
    options: ModelEntryOptions,
  ) {
    super();
    this.way = new MemoryLogService(store, clock);
    this.network = this.register(new MemoryPeerNetwork(entryId, hub));
    this.follower = this.register(new ConfigFollower(this.way, clock, random, options.initial));
    this.follower.attach(this.network);
    this.submitter = this.register(new PatchSubmitter(this.way, this.follower, clock));
    this.register(new SnapshotPublisher(this.way, this.follower, clock, random, options.snapshots));
    this.register(clock.every(HEARTBEAT_MS, () => this.sendHeartbeats()));
    void this.follower.run();
  }

  private sendHeartbeats(): void {
    const { version, offset } = this.follower.state();
    this.hub.entryIds().forEach((peerId) => {
      if (peerId === this.entryId) return;
      this.network.send(peerId, {
        kind: 'heartbeat',
        incarnation: 'one',
        sentAtMs: this.clock.monotonicMs(),
        configVersion: version,
        configOffset: offset,
        stopping: false,
        logReachable: this.follower.logReachable,
        controlOffset: -1,
        suspects: [],
      });
    });
  }
}
