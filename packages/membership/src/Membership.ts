/**
 * The task that keeps this entry a member: it joins by a record, sends heartbeats, watches the
 * platform's list, proposes evictions, and joins anew after it was evicted. Every decision is
 * `MembershipCore`'s.
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
const REPEAT_RECORD_MS = 1_000;
const INCARNATION_BYTES = 6;

export interface MembershipTaskOptions {
  readonly entryId: EntryId;
  readonly zoneId: ZoneId;
  readonly timing?: MembershipTiming;
}

/** What membership needs of the rest of the entry. */
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

function newIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString('hex');
}

export class Membership extends Task<MembershipMessage> implements HomeMap {
  private readonly changeEmitter = this.register(new EventEmitter<void>());

  readonly onChange = this.changeEmitter.event;

  private readonly identityEmitter = this.register(new EventEmitter<MemberId>());

  /** Fires when this entry becomes another member, after it was evicted. */
  readonly onIdentity = this.identityEmitter.event;

  private core: MembershipCore;

  private readonly timing: MembershipTiming;

  private freshness: ConfigFreshness | undefined;

  private live: readonly Member[] = [];

  private stopping = false;

  private superseded = false;

  private caughtUp = false;

  private askedAtMs = Number.NEGATIVE_INFINITY;

  /** Where peers reach this entry; undefined until it listens. */
  private address: string | undefined;

  constructor(
    private readonly options: MembershipTaskOptions,
    private readonly services: MembershipServices,
    private readonly clock: Clock,
  ) {
    super('membership');
    this.timing = options.timing ?? DEFAULT_MEMBERSHIP_TIMING;
    this.core = this.newCore();
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

  /** The member that this entry is now. */
  get memberId(): MemberId {
    return this.core.memberId;
  }

  /** Another process has joined under this entry's id: this one must end. */
  get isSuperseded(): boolean {
    return this.superseded;
  }

  get isActive(): boolean {
    return this.core.isActive;
  }

  /** Joins the roster as soon as the log has been read, to be reached at this address. */
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

  /** Lets the configuration's age close the fence too. */
  watchFreshness(freshness: ConfigFreshness): void {
    this.freshness = freshness;
    this.core.fence.watchFreshness(freshness);
  }

  /** Tells the others that this entry takes no new tickets and is no home. */
  beginStop(): void {
    this.stopping = true;
    this.post({ kind: 'tick' });
  }

  /** Appends the leave record; `idle` if no work of this entry's credits can run any more. */
  leave(idle: boolean): void {
    const record: LeaveRecord = { kind: 'leave', memberId: this.memberId, idle };
    this.services.writer.append(record);
  }

  protected override handle(message: MembershipMessage): void {
    const nowMs = this.clock.monotonicMs();
    if (message.kind === 'received') this.receive(message.received, nowMs);
    else if (message.kind === 'record') this.takeRecord(message.record, nowMs);
    else if (message.kind === 'snapshot') this.load(message.snapshot, nowMs);
    else if (message.kind === 'confirmed') this.confirm(message.confirmation, nowMs);
    else if (message.kind === 'listed') this.takeList(message.list, nowMs);
    else this.tick(nowMs);
  }

  private newCore(): MembershipCore {
    const { entryId } = this.options;
    const incarnation = newIncarnation();
    const core = new MembershipCore({ entryId, incarnation, timing: this.timing });
    if (this.freshness) core.fence.watchFreshness(this.freshness);
    return core;
  }

  private receive({ fromEntryId, message }: ReceivedMessage, nowMs: number): void {
    if (message.kind !== 'heartbeat') return;
    this.core.takeHeartbeat(fromEntryId, message, nowMs);
    this.refreshLive(nowMs);
  }

  private takeRecord(record: LogRecord, nowMs: number): void {
    const change = this.core.takeRecord(record, nowMs);
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
    if (this.core.isClosed) this.becomeAnother(nowMs);
    this.refreshLive(nowMs);
  }

  /** The roster has closed this member; whatever it held is no longer its own. */
  private becomeAnother(nowMs: number): void {
    const self = this.core.roster.get(this.core.memberId);
    if (self?.status === 'superseded') this.superseded = true;
    if (self?.status !== 'evicted' || this.stopping) return;
    const snapshot = this.core.roster.toSnapshot();
    this.core = this.newCore();
    this.core.load(self.closedOffset, snapshot, nowMs);
    this.askedAtMs = Number.NEGATIVE_INFINITY;
    this.identityEmitter.fire(this.core.memberId);
  }

  private confirm({ sentAtMs }: LogConfirmation, nowMs: number): void {
    this.core.fence.confirmByLog(sentAtMs);
    this.caughtUp = true;
    this.askToJoin(nowMs);
    this.refreshLive(nowMs);
  }

  private askToJoin(nowMs: number): void {
    if (this.core.isActive || this.stopping || this.superseded || !this.caughtUp) return;
    const { address } = this;
    if (address === undefined || nowMs - this.askedAtMs < REPEAT_RECORD_MS) return;
    this.askedAtMs = nowMs;
    const { entryId, zoneId } = this.options;
    const incarnation = this.core.memberId.slice(entryId.length + 1);
    const record: JoinRecord = { kind: 'join', entryId, incarnation, address, zoneId };
    this.services.writer.append(record);
  }

  private tick(nowMs: number): void {
    const { configVersion, configOffset } = this.configFacts();
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

  private configFacts(): { configVersion: number; configOffset: number } {
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

  private takeList(list: InstanceList | undefined, nowMs: number): void {
    if (list) this.core.takeList(list, nowMs);
    else this.core.list.forget();
  }
}
