/**
 * The roster as derived from the control stream. It reads no clock, so all readers that have
 * processed the same records hold the same roster.
 */
import { type EntryId } from '@acaciadock/core';
import { type LogRecord } from '@acaciadock/platform';
import { kindOf } from './kindOf.js';
import {
  type EvictRecord,
  type JoinRecord,
  type Member,
  type MemberId,
  memberIdOf,
  type MemberStatus,
  membershipRecordSchema,
  type RosterSnapshot,
} from './MembershipRecords.js';

const KINDS: ReadonlySet<string> = new Set(['join', 'leave', 'evict']);
/** Latest changes that are kept. An eviction whose `sinceOffset` precedes them is not valid. */
const MAX_CHANGES = 64;
/** Closed members that are kept; the ones closed first are deleted first. */
const MAX_CLOSED_MEMBERS = 128;

export type RosterChange =
  | { readonly kind: 'joined'; readonly member: Member; readonly superseded: readonly Member[] }
  | { readonly kind: 'closed'; readonly member: Member };

interface ActiveSet {
  readonly offset: number;
  readonly memberIds: readonly MemberId[];
}

export class RosterState {
  private members = new Map<MemberId, Member>();

  /** Active members sorted by ID, cached because every decision needs them. */
  private activeMembers: readonly Member[] = [];

  /** The set of active members after each of the latest changes, oldest first. */
  private changes: ActiveSet[] = [];

  /** Offset of the last record that changed the roster; -1 before the first. */
  get changedOffset(): number {
    return this.changes.at(-1)?.offset ?? -1;
  }

  /** Active members, sorted by ID. */
  active(): readonly Member[] {
    return this.activeMembers;
  }

  get(memberId: MemberId): Member | undefined {
    return this.members.get(memberId);
  }

  isActive(memberId: MemberId): boolean {
    return this.members.get(memberId)?.status === 'active';
  }

  activeMemberOf(entryId: EntryId): Member | undefined {
    return this.active().find((member) => member.entryId === entryId);
  }

  /** Applies the next record of the stream and returns the resulting change, if any. */
  reduce(record: LogRecord): RosterChange | undefined {
    if (!KINDS.has(kindOf(record.payload))) return undefined;
    const parsed = membershipRecordSchema.safeParse(record.payload);
    if (!parsed.success) return undefined;
    const { data } = parsed;
    if (data.kind === 'join') return this.join(record, data);
    if (data.kind === 'leave')
      return this.close(record, data.memberId, data.idle ? 'left' : 'left-busy');
    if (!this.isValidEviction(record, data)) return undefined;
    return this.close(record, data.memberId, 'evicted');
  }

  /**
   * Whether the votes prove that the member cannot have a majority in any roster that it may still
   * hold as current: each voter has withdrawn its support before it voted.
   */
  isValidEviction(record: LogRecord, evict: EvictRecord): boolean {
    if (!this.isActive(evict.memberId)) return false;
    if (record.appendedAtMs > evict.expiresAtMs) return false;
    const voters = new Set(evict.voterIds.filter((voterId) => this.isActive(voterId)));
    voters.delete(evict.memberId);
    if (voters.size === 0) return false;
    if (evict.massLoss) return true;
    const possibleRosters = this.changesSince(evict.sinceOffset);
    if (!possibleRosters) return false;
    return possibleRosters.every(({ memberIds }) => {
      const nonSupporters = memberIds.filter(
        (memberId) => voters.has(memberId) || this.hasStopped(memberId),
      );
      return nonSupporters.length * 2 >= memberIds.length;
    });
  }

  toSnapshot(): RosterSnapshot {
    return {
      members: [...this.members.values()],
      changes: this.changes.map(({ offset, memberIds }) => ({
        offset,
        memberIds: [...memberIds],
      })),
    };
  }

  load(snapshot: RosterSnapshot): void {
    this.members = new Map(snapshot.members.map((member) => [member.memberId, member]));
    this.changes = [...snapshot.changes];
    this.sortActive();
  }

  private join({ offset, appendedAtMs }: LogRecord, join: JoinRecord): RosterChange | undefined {
    const { entryId, address, zoneId } = join;
    const memberId = memberIdOf(entryId, join.incarnation);
    if (this.members.has(memberId)) return undefined;
    const closed = { closedOffset: offset, closedAtMs: appendedAtMs };
    const superseded = this.active()
      .filter((member) => member.entryId === entryId)
      .map((member) => ({ ...member, ...closed, status: 'superseded' as const }));
    superseded.forEach((member) => this.members.set(member.memberId, member));
    const member: Member = {
      memberId,
      entryId,
      address,
      zoneId,
      joinOffset: offset,
      status: 'active',
      closedOffset: -1,
      closedAtMs: 0,
    };
    this.members.set(memberId, member);
    this.recordChange(offset);
    return { kind: 'joined', member, superseded };
  }

  private close(
    { offset, appendedAtMs }: LogRecord,
    memberId: MemberId,
    status: MemberStatus,
  ): RosterChange | undefined {
    const known = this.members.get(memberId);
    if (known?.status !== 'active') return undefined;
    const member = { ...known, status, closedOffset: offset, closedAtMs: appendedAtMs };
    this.members.set(memberId, member);
    this.recordChange(offset);
    return { kind: 'closed', member };
  }

  private sortActive(): void {
    this.activeMembers = [...this.members.values()]
      .filter(({ status }) => status === 'active')
      .sort((a, b) => (a.memberId < b.memberId ? -1 : 1));
  }

  private recordChange(offset: number): void {
    this.sortActive();
    const memberIds = this.active().map(({ memberId }) => memberId);
    this.changes = [...this.changes, { offset, memberIds }].slice(-MAX_CHANGES);
    const closed = [...this.members.values()].filter(({ status }) => status !== 'active');
    closed
      .sort((a, b) => a.closedOffset - b.closedOffset)
      .slice(0, Math.max(0, closed.length - MAX_CLOSED_MEMBERS))
      .forEach(({ memberId }) => this.members.delete(memberId));
  }

  /** The roster as of `offset` and all later ones; undefined if it is no longer kept. */
  private changesSince(offset: number): readonly ActiveSet[] | undefined {
    const index = this.changes.findLastIndex((change) => change.offset <= offset);
    if (index < 0) return undefined;
    return this.changes.slice(index);
  }

  /** Whether the member's process has ended. An evicted one may still run without knowing it. */
  private hasStopped(memberId: MemberId): boolean {
    const status = this.members.get(memberId)?.status;
    return status === 'left' || status === 'left-busy' || status === 'superseded';
  }
}
