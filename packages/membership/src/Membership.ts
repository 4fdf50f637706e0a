/**
 * The task that maintains this entry's membership: it appends the join record, sends heartbeats,
 * polls the platform's list of instances, proposes evictions, and rejoins after it was evicted. The
 * decisions themselves are made by `MembershipCore`.
 */
import { randomBytes } from 'node:crypto';
import {
  type Clock,
  type ConfigFreshness,
  type EntryId,
  EventEmitter,
  type FenceReason,
  type HomeMap,
  type ServiceId,
  Task,
  type ZoneId,
} from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import { type PeerNetwork, type ReceivedMessage } from '@acaciadock/peers';
import { type InstanceDirectory, type InstanceList, type LogRecord } from '@acaciadock/platform';
import {
  type ControlSnapshot,
  type ControlStreamReader,
  type LogConfirmation,
} from './ControlStreamReader.js';
import { type ControlStreamWriter } from './ControlStreamWriter.js';
import { MembershipCore } from './MembershipCore.js';
import {
  type JoinRecord,
  type LeaveRecord,
  type Member,
  type MemberId,
  rosterSnapshotSchema,
} from './MembershipRecords.js';
import { DEFAULT_MEMBERSHIP_TIMING, type MembershipTiming } from './MembershipTiming.js';
import { rankForService } from './RendezvousRanking.js';

const LIST_PERIOD_MS = 2_000;
const JOIN_RETRY_MS = 1_000;
const INCARNATION_BYTES = 6;

export interface MembershipTaskOptions {
  readonly entryId: EntryId;
  readonly zoneId: ZoneId;
  readonly timing?: MembershipTiming;
}

/** Services of the entry that membership depends on. */
export interface MembershipServices {
  readonly network: PeerNetwork;
  readonly reader: ControlStreamReader;
  readonly writer: ControlStreamWriter;
  readonly directory: InstanceDirectory;
  readonly config: ConfigView;
}

type MembershipMessage =
  | { readonly kind: 'received'; readonly received: ReceivedMessage }
  | { readonly kind: 'record'; readonly record: LogRecord }
  | { readonly kind: 'snapshot'; readonly snapshot: ControlSnapshot }
  | { readonly kind: 'confirmed'; readonly confirmation: LogConfirmation }
  | { readonly kind: 'listed'; readonly list: InstanceList | undefined }
  | { readonly kind: 'tick' };

function createIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString('hex');
}

export class Membership extends Task<MembershipMessage> implements HomeMap {
  private readonly changeEmitter = this.register(new EventEmitter<void>());

  readonly onChange = this.changeEmitter.event;

  private readonly identityEmitter = this.register(new EventEmitter<MemberId>());

  /** Fires when this entry takes a new member ID after it was evicted. */
  readonly onIdentity = this.identityEmitter.event;

  private core: MembershipCore;

  private readonly timing: MembershipTiming;

  private freshness: ConfigFreshness | undefined;

  private live: readonly Member[] = [];

  private stopping = false;

  private superseded = false;

  private caughtUp = false;

  private joinRequestedAtMs = Number.NEGATIVE_INFINITY;

  /** The address at which peers reach this entry; undefined until it listens. */
  private address: string | undefined;

  constructor(
    private readonly options: MembershipTaskOptions,
    private readonly services: MembershipServices,
    private readonly clock: Clock,
  ) {
    super('membership');
    this.timing = options.timing ?? DEFAULT_MEMBERSHIP_TIMING;
    this.core = this.createCore();
    const { network, reader } = services;
    this.register(network.onMessage((received) => this.post({ kind: 'received', received })));
    this.register(reader.onRecord((record) => this.post({ kind: 'record', record })));
    this.register(reader.onSnapshot((snapshot) => this.post({ kind: 'snapshot', snapshot })));
    this.register(
      reader.onConfirmed((confirmation) => this.post({ kind: 'confirmed', confirmation })),
    );
    this.register(clock.every(this.timing.heartbeatMs, () => this.post({ kind: 'tick' })));
    this.register(
      clock.every(LIST_PERIOD_MS, () => {
        void this.readList();
      }),
    );
  }

  /** The current member ID of this entry. */
  get memberId(): MemberId {
    return this.core.memberId;
  }

  /** Whether another process has joined under this entry's ID. This one must exit: it can't rejoin. */
  get isSuperseded(): boolean {
    return this.superseded;
  }

  get isActive(): boolean {
    return this.core.isActive;
  }

  /** Joins the roster, once the log has been read, with the address at which peers reach it. */
  start(address: string): void {
    this.address = address;
  }

  rankedHomes(serviceId: ServiceId): readonly EntryId[] {
    return rankForService(serviceId, this.liveEntries());
  }

  liveEntries(): readonly EntryId[] {
    return this.live.map(({ entryId }) => entryId);
  }

  /** All members of the roster, live or not. */
  members(): readonly Member[] {
    return this.core.roster.active();
  }

  fenceReason(nowMs: number): FenceReason | undefined {
    return this.core.fenceReason(nowMs);
  }

  /** Makes the fence close as well when the configuration is stale. */
  watchFreshness(freshness: ConfigFreshness): void {
    this.freshness = freshness;
    this.core.fence.watchFreshness(freshness);
  }

  /** Announces to the peers that this entry accepts no new tickets and is no longer a home. */
  beginStop(): void {
    this.stopping = true;
    this.post({ kind: 'tick' });
  }

  /** Appends the leave record; `idle` if no work on this entry's credits can run any more. */
  leave(idle: boolean): void {
    const record: LeaveRecord = { kind: 'leave', memberId: this.memberId, idle };
    this.services.writer.append(record);
  }

  protected override handle(message: MembershipMessage): void {
    const nowMs = this.clock.monotonicMs();
    if (message.kind === 'received') this.receive(message.received, nowMs);
    else if (message.kind === 'record') this.handleRecord(message.record, nowMs);
    else if (message.kind === 'snapshot') this.load(message.snapshot, nowMs);
    else if (message.kind === 'confirmed') this.confirm(message.confirmation, nowMs);
    else if (message.kind === 'listed') this.handleList(message.list, nowMs);
    else this.tick(nowMs);
  }

  private createCore(): MembershipCore {
    const { entryId } = this.options;
    const incarnation = createIncarnation();
    const core = new MembershipCore({ entryId, incarnation, timing: this.timing });
    if (this.freshness) core.fence.watchFreshness(this.freshness);
    return core;
  }

  private receive({ fromEntryId, message }: ReceivedMessage, nowMs: number): void {
    if (message.kind !== 'heartbeat') return;
    this.core.handleHeartbeat(fromEntryId, message, nowMs);
    this.refreshLive(nowMs);
  }

  private handleRecord(record: LogRecord, nowMs: number): void {
    const change = this.core.applyRecord(record, nowMs);
    if (!change) return;
    this.afterRosterChange(nowMs);
  }

  private load(snapshot: ControlSnapshot, nowMs: number): void {
    const roster = rosterSnapshotSchema.safeParse(snapshot.roster);
    if (!roster.success) return;
    this.core.load(snapshot.includedOffset, roster.data, nowMs);
    this.afterRosterChange(nowMs);
  }

  private afterRosterChange(nowMs: number): void {
    this.services.network.setPeers(this.core.peers());
    if (this.core.isClosed) this.rejoinAsNewMember(nowMs);
    this.refreshLive(nowMs);
  }

  /** Handles the end of this membership: an evicted entry rejoins as a new member. */
  private rejoinAsNewMember(nowMs: number): void {
    const self = this.core.roster.get(this.core.memberId);
    if (self?.status === 'superseded') this.superseded = true;
    if (self?.status !== 'evicted' || this.stopping) return;
    const snapshot = this.core.roster.toSnapshot();
    this.core = this.createCore();
    this.core.load(self.closedOffset, snapshot, nowMs);
    this.joinRequestedAtMs = Number.NEGATIVE_INFINITY;
    this.identityEmitter.fire(this.core.memberId);
  }

  private confirm({ sentAtMs }: LogConfirmation, nowMs: number): void {
    this.core.fence.confirmByLog(sentAtMs);
    this.caughtUp = true;
    this.requestJoin(nowMs);
    this.refreshLive(nowMs);
  }

  private requestJoin(nowMs: number): void {
    if (this.core.isActive || this.stopping || this.superseded || !this.caughtUp) return;
    const { address } = this;
    if (address === undefined || nowMs - this.joinRequestedAtMs < JOIN_RETRY_MS) return;
    this.joinRequestedAtMs = nowMs;
    const { entryId, zoneId } = this.options;
    const incarnation = this.core.memberId.slice(entryId.length + 1);
    const record: JoinRecord = { kind: 'join', entryId, incarnation, address, zoneId };
    this.services.writer.append(record);
  }

  private tick(nowMs: number): void {
    const { configVersion, configOffset } = this.configState();
    const { network, reader, writer } = this.services;
    this.core.fence.tick(nowMs);
    const facts = {
      configVersion,
      configOffset,
      logReachable: reader.logReachable,
      stopping: this.stopping,
    };
    this.core
      .heartbeats(nowMs, facts)
      .forEach(({ toEntryId, heartbeat }) => network.send(toEntryId, heartbeat));
    const eviction = this.core.proposeEviction(nowMs, this.clock.unixMs());
    if (eviction) writer.append(eviction);
    this.refreshLive(nowMs);
  }

  private configState(): { configVersion: number; configOffset: number } {
    const { version, offset } = this.services.config.state();
    return { configVersion: version, configOffset: offset };
  }

  private refreshLive(nowMs: number): void {
    const live = this.core.liveMembers(nowMs, this.stopping);
    const before = this.live;
    const same =
      live.length === before.length &&
      live.every(({ memberId }, index) => memberId === before[index]?.memberId);
    if (same) return;
    this.live = live;
    this.changeEmitter.fire();
  }

  private async readList(): Promise<void> {
    const list = await this.services.directory.list();
    this.post({ kind: 'listed', list: list.unwrapOr(undefined) });
  }

  private handleList(list: InstanceList | undefined, nowMs: number): void {
    if (list) this.core.handleList(list, nowMs);
    else this.core.list.reset();
  }
}
