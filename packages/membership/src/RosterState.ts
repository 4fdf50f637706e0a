/**
 * The roster as reduced from the control stream. It reads no clock: every reader that has read
 * the same records holds the same roster.
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
const MOST_CHANGES = 64;
const MOST_CLOSED_MEMBERS = 128;

export type RosterChange =
  | { readonly kind: 'joined'; readonly member: Member; readonly superseded: readonly Member[] }
  | { readonly kind: 'closed'; readonly member: Member };

interface ActiveSet {
  readonly offset: number;
  readonly memberIds: readonly MemberId[];
}

export class RosterState {
  private members = new Map<MemberId, Member>();

  /** Active members by name, kept beside the map because every decision asks for them. */
  private activeMembers: readonly Member[] = [];

  /** The active members after each of the latest changes, oldest first. */
  private changes: ActiveSet[] = [];

  /** Offset of the last record that changed the roster; -1 before the first. */
  get changedOffset(): number {
    return this.changes.at(-1)?.offset ?? -1;
  }

  /** Active members, by name. */
  active(): readonly Member[] {
    return this.activeMembers;
  }

  get(memberId: MemberId): Member | undefined {
    return this.members.get(memberId);
  }

  isActive(memberId: MemberId): boolean {
    return this.members.get(memberId)?.status === 'active';
  }

  activeOf(entryId: EntryId): Member | undefined {
    return this.active().find((member) => member.entryId === entryId);
  }

  /** Takes the next record of the stream; tells what it changed, if anything. */
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
   * Whether the voters prove that the member cannot have a majority behind it, in any roster that
   * it may still believe in: each voter has withdrawn its support before it voted.
   */
  isValidEviction(record: LogRecord, evict: EvictRecord): boolean {
    if (!this.isActive(evict.memberId)) return false;
    if (record.appendedAtMs > evict.expiresAtMs) return false;
    const voters = new Set(evict.voterIds.filter((voterId) => this.isActive(voterId)));
    voters.delete(evict.memberId);
    if (voters.size === 0) return false;
    if (evict.massLoss) return true;
    const believed = this.changesSince(evict.sinceOffset);
    if (!believed) return false;
    return believed.every(({ memberIds }) => {
      const without = memberIds.filter(
        (memberId) => voters.has(memberId) || this.hasStopped(memberId),
      );
      return without.length * 2 >= memberIds.length;
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
    this.noteChange(offset);
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
    this.noteChange(offset);
    return { kind: 'closed', member };
  }

  private sortActive(): void {
    this.activeMembers = [...this.members.values()]
      .filter(({ status }) => status === 'active')
      .sort((a, b) => (a.memberId < b.memberId ? -1 : 1));
  }

  private noteChange(offset: number): void {
    this.sortActive();
    const memberIds = this.active().map(({ memberId }) => memberId);
    this.changes = [...this.changes, { offset, memberIds }].slice(-MOST_CHANGES);
    const closed = [...this.members.values()].filter(({ status }) => status !== 'active');
    closed
      .sort((a, b) => a.closedOffset - b.closedOffset)
      .slice(0, Math.max(0, closed.length - MOST_CLOSED_MEMBERS))
      .forEach(({ memberId }) => this.members.delete(memberId));
  }

  /** The roster that held at `offset` and all later ones; undefined if it is forgotten. */
  private changesSince(offset: number): readonly ActiveSet[] | undefined {
    const place = this.changes.findLastIndex((change) => change.offset <= offset);
    if (place < 0) return undefined;
    return this.changes.slice(place);
  }

  /** Whether the member's process is over. One that was evicted may still run and not know it. */
  private hasStopped(memberId: MemberId): boolean {
    const status = this.members.get(memberId)?.status;
    return status === 'left' || status === 'left-busy' || status === 'superseded';
  }
}
