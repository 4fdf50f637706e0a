/**
 * The decision logic of one member: which peers to send heartbeats to, which members are live,
 * which are suspected, when to propose an eviction, and whether this entry may start work. It does
 * no I/O and reads no clock: callers pass in the time and the received messages, and it returns
 * what to send and to append.
 */
import { type EntryId, type FenceReason } from '@acaciadock/core';
import { type Heartbeat } from '@acaciadock/peers';
import { type InstanceList, type LogRecord } from '@acaciadock/platform';
import { FenceRules } from './FenceRules.js';
import { InstanceListTracker } from './InstanceListTracker.js';
import { Liveness } from './Liveness.js';
import {
  type EvictRecord,
  type Member,
  type MemberId,
  memberIdOf,
  type RosterSnapshot,
} from './MembershipRecords.js';
import { DEFAULT_MEMBERSHIP_TIMING, type MembershipTiming } from './MembershipTiming.js';
import { type RosterChange, RosterState } from './RosterState.js';

/** Maximum share of the roster evicted within `voteBindsMs`; one eviction is always allowed. */
const MAX_EVICTED_RATIO = 1 / 3;

/** Delay per rank among the voters, so that they don't all propose the same eviction at once. */
const PROPOSAL_STAGGER_MS = 500;

export interface MembershipOptions {
  readonly entryId: EntryId;
  readonly incarnation: string;
  readonly timing?: MembershipTiming;
}

/** Heartbeat fields whose values come from other parts of the entry. */
export interface HeartbeatFacts {
  readonly configVersion: number;
  readonly configOffset: number;
  readonly logReachable: boolean;
  readonly stopping: boolean;
}

export interface AddressedHeartbeat {
  readonly toEntryId: EntryId;
  readonly heartbeat: Heartbeat;
}

export class MembershipCore {
  readonly entryId: EntryId;

  readonly memberId: MemberId;

  readonly roster = new RosterState();

  readonly list = new InstanceListTracker();

  readonly fence: FenceRules;

  private readonly incarnation: string;

  private readonly timing: MembershipTiming;

  private readonly liveness: Liveness;

  private nextPeerIndex = 0;

  private lastTickMs: number | undefined;

  private suspectSinceMs = new Map<MemberId, number>();

  private readonly evictedAtMs: number[] = [];

  private controlOffset = -1;

  constructor(options: MembershipOptions) {
    this.entryId = options.entryId;
    this.incarnation = options.incarnation;
    this.memberId = memberIdOf(options.entryId, options.incarnation);
    this.timing = options.timing ?? DEFAULT_MEMBERSHIP_TIMING;
    this.liveness = new Liveness(this.timing);
    this.fence = new FenceRules(this.memberId, this.roster, this.liveness, this.list, this.timing);
  }

  get isActive(): boolean {
    return this.roster.isActive(this.memberId);
  }

  /** Whether the roster has ended this incarnation's membership. */
  get isClosed(): boolean {
    const self = this.roster.get(this.memberId);
    return self !== undefined && self.status !== 'active';
  }

  peers(): readonly Member[] {
    return this.roster.active().filter(({ memberId }) => memberId !== this.memberId);
  }

  /** Applies the next record of the control stream. */
  applyRecord(record: LogRecord, nowMs: number): RosterChange | undefined {
    this.controlOffset = record.offset;
    const change = this.roster.reduce(record);
    if (change?.kind === 'joined') {
      change.superseded.forEach(({ memberId }) => this.liveness.forget(memberId));
      if (change.member.memberId !== this.memberId) {
        this.liveness.watch(change.member.memberId, nowMs);
      }
    }
    if (change?.kind === 'closed') this.liveness.forget(change.member.memberId);
    if (change?.kind === 'closed' && change.member.status === 'evicted') {
      this.evictedAtMs.push(nowMs);
    }
    return change;
  }

  load(includedOffset: number, snapshot: RosterSnapshot, nowMs: number): void {
    this.controlOffset = includedOffset;
    this.roster.load(snapshot);
    this.peers().forEach(({ memberId }) => this.liveness.watch(memberId, nowMs));
  }

  handleHeartbeat(fromEntryId: EntryId, heartbeat: Heartbeat, nowMs: number): void {
    this.liveness.recordHeartbeat(memberIdOf(fromEntryId, heartbeat.incarnation), heartbeat, nowMs);
  }

  handleList(list: InstanceList, nowMs: number): void {
    const active = this.roster.active();
    const heard = active
      .filter(({ memberId }) => memberId === this.memberId || this.isLive(memberId, nowMs))
      .map(({ entryId }) => entryId);
    this.list.update(
      list,
      active.map(({ entryId }) => entryId),
      new Set(heard),
      nowMs,
    );
  }

  /** Live members sorted by ID, with this one while its fence is open and it isn't stopping. */
  liveMembers(nowMs: number, stopping: boolean): readonly Member[] {
    const selfServes = !stopping && this.fenceReason(nowMs) === undefined;
    return this.roster.active().filter(({ memberId }) => {
      if (memberId === this.memberId) return selfServes;
      return this.isLive(memberId, nowMs) && !this.liveness.isStopping(memberId);
    });
  }

  fenceReason(nowMs: number): FenceReason | undefined {
    return this.fence.reason(nowMs);
  }

  /**
   * Returns the heartbeats to send in this round. Also records the votes that they carry and detects
   * whether the process was paused since the previous round.
   */
  heartbeats(nowMs: number, facts: HeartbeatFacts): readonly AddressedHeartbeat[] {
    this.detectPause(nowMs);
    const suspects = this.suspects(nowMs);
    suspects.forEach((memberId) => this.liveness.recordVote(memberId, nowMs));
    const fenced = this.fenceReason(nowMs) !== undefined;
    return this.nextRecipients().map((peer) => {
      const echoSentAtMs = this.liveness.echoFor(peer.memberId, nowMs);
      const heartbeat: Heartbeat = {
        kind: 'heartbeat',
        incarnation: this.incarnation,
        sentAtMs: nowMs,
        configVersion: facts.configVersion,
        configOffset: facts.configOffset,
        stopping: facts.stopping || fenced,
        logReachable: facts.logReachable,
        controlOffset: this.controlOffset,
        suspects: [...suspects],
        ...(echoSentAtMs === undefined ? {} : { echoSentAtMs }),
      };
      return { toEntryId: peer.entryId, heartbeat };
    });
  }

  /** Returns the eviction to append now, if there is one to propose. */
  proposeEviction(nowMs: number, unixMs: number): EvictRecord | undefined {
    if (!this.isActive || !this.mayEvictMore(nowMs)) return undefined;
    return this.suspects(nowMs)
      .map((memberId) => this.proposalFor(memberId, nowMs, unixMs))
      .find((proposal) => proposal !== undefined);
  }

  /** Members that have been both silent and missing from the list for long enough. */
  suspects(nowMs: number): readonly MemberId[] {
    const suspects = this.peers()
      .filter((peer) => this.isSuspect(peer, nowMs))
      .map(({ memberId }) => memberId);
    this.suspectSinceMs = new Map(
      suspects.map((memberId) => [memberId, this.suspectSinceMs.get(memberId) ?? nowMs]),
    );
    return suspects;
  }

  /**
   * Whether a heartbeat of the member arrived recently. A member sends us one heartbeat per cycle, and
   * in a large roster a cycle takes several rounds, so the time limit grows with the cycle.
   */
  private isLive(memberId: MemberId, nowMs: number): boolean {
    const cycleMs = this.roundsPerCycle() * this.timing.heartbeatMs;
    return this.liveness.isLive(memberId, Math.max(this.timing.liveMs, 2.5 * cycleMs), nowMs);
  }

  /** Whether to vote for the member's eviction. The time limit grows as in `isLive`. */
  private isSuspect({ memberId, entryId }: Member, nowMs: number): boolean {
    const cycleMs = this.roundsPerCycle() * this.timing.heartbeatMs;
    const silenceMs = Math.max(this.timing.silenceMs, 4 * cycleMs);
    if (this.liveness.silentMs(memberId, nowMs) < silenceMs) return false;
    return this.list.absentMs(entryId, nowMs) >= this.timing.absenceMs;
  }

  /** Number of rounds in which every peer gets one heartbeat. */
  private roundsPerCycle(): number {
    const peers = Math.max(1, this.roster.active().length - 1);
    return Math.ceil(peers / this.timing.fanOut);
  }

  private nextRecipients(): readonly Member[] {
    const peers = this.peers();
    if (peers.length <= this.timing.fanOut) return peers;
    const from = this.nextPeerIndex % peers.length;
    this.nextPeerIndex = from + this.timing.fanOut;
    return [...peers, ...peers].slice(from, from + this.timing.fanOut);
  }

  private detectPause(nowMs: number): void {
    const lastMs = this.lastTickMs;
    this.lastTickMs = nowMs;
    if (lastMs === undefined || nowMs - lastMs < this.timing.fenceMs) return;
    this.liveness.resetSilence(nowMs);
    this.list.reset();
  }

  private mayEvictMore(nowMs: number): boolean {
    const recentEvictions = this.evictedAtMs.filter(
      (atMs) => nowMs - atMs < this.timing.voteBindsMs,
    );
    const members = this.roster.active().length + recentEvictions.length;
    return recentEvictions.length < Math.max(1, Math.floor(members * MAX_EVICTED_RATIO));
  }

  private proposalFor(memberId: MemberId, nowMs: number, unixMs: number): EvictRecord | undefined {
    this.liveness.recordVote(memberId, nowMs);
    const voterIds = this.votersAgainst(memberId, nowMs);
    const rank = voterIds.filter((voterId) => voterId < this.memberId).length;
    const sinceMs = this.suspectSinceMs.get(memberId) ?? nowMs;
    if (nowMs - sinceMs < rank * PROPOSAL_STAGGER_MS) return undefined;
    const record: EvictRecord = {
      kind: 'evict',
      memberId,
      voterIds: [...voterIds],
      sinceOffset: this.lastReadOffsetOf(memberId),
      expiresAtMs: unixMs + this.timing.evictionExpiryMs,
      massLoss: false,
    };
    const prospectiveRecord = {
      offset: this.controlOffset + 1,
      appendedAtMs: unixMs,
      payload: record,
    };
    if (this.roster.isValidEviction(prospectiveRecord, record)) return record;
    if (!this.isMassLoss(voterIds, nowMs)) return undefined;
    return { ...record, massLoss: true };
  }

  private votersAgainst(memberId: MemberId, nowMs: number): readonly MemberId[] {
    const others = this.peers()
      .map((peer) => peer.memberId)
      .filter((voterId) => this.liveness.votesToEvict(voterId, memberId, nowMs));
    return [this.memberId, ...others].sort();
  }

  private lastReadOffsetOf(memberId: MemberId): number {
    const joinOffset = this.roster.get(memberId)?.joinOffset ?? -1;
    return Math.max(joinOffset, this.liveness.controlOffsetOf(memberId));
  }

  /** Whether all members but the voters have long been silent and missing from the list. */
  private isMassLoss(voterIds: readonly MemberId[], nowMs: number): boolean {
    const { massLossMs } = this.timing;
    return this.peers()
      .filter(({ memberId }) => !voterIds.includes(memberId))
      .every(
        ({ memberId, entryId }) =>
          this.liveness.silentMs(memberId, nowMs) >= massLossMs &&
          this.list.absentMs(entryId, nowMs) >= massLossMs,
      );
  }
}
