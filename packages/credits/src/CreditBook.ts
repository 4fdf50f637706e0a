/**
 * The credits of all teams as reduced from the control stream. The result is deterministic and
 * independent of the clock: all readers of the same records hold the same book.
 *
 * A closed member, which has left, was evicted or was superseded, keeps its credits in the book at
 * first. Each active member waits until no work can run on the closed member's credits any more,
 * and then writes its final balance with it. After the last of these balance records the credits of
 * the closed members are known exactly, and are redistributed.
 */
import { type TeamId } from '@acaciadock/core';
import { kindOf, type MemberId, type RosterChange, RosterState } from '@acaciadock/membership';
import { type LogRecord } from '@acaciadock/platform';
import {
  type BalanceRecord,
  type BurnRecord,
  creditRecordSchema,
  type CreditSnapshot,
  type LimitsRecord,
} from './CreditRecords.js';
import { TeamBook } from './TeamBook.js';

const CREDIT_RECORD_KINDS: ReadonlySet<string> = new Set([
  'credit-limits',
  'credit-burn',
  'credit-balance',
]);

/** A closed member whose credits have not been redistributed yet. */
interface ClosedMember {
  readonly memberId: MemberId;
  /** Offset of the record that closed the member. */
  readonly closedOffset: number;
  /** Active members that have written their final balance with the closed one. */
  readonly balancedBy: Set<MemberId>;
}

export type BookChange =
  | { readonly kind: 'roster'; readonly change: RosterChange }
  | { readonly kind: 'limits'; readonly record: LimitsRecord }
  | { readonly kind: 'burnt'; readonly record: BurnRecord }
  | { readonly kind: 'balanced'; readonly record: BalanceRecord };

export class CreditBook {
  readonly roster = new RosterState();

  private readonly teamBooks = new Map<TeamId, TeamBook>();

  /** The members that are closed and not settled yet. */
  private readonly closing = new Map<MemberId, ClosedMember>();

  /** Sequence number of each member's last burn record. */
  private readonly burnSequences = new Map<MemberId, number>();

  private offset = -1;

  /** Offset of the last record that was applied. */
  get lastOffset(): number {
    return this.offset;
  }

  team(teamId: TeamId): TeamBook | undefined {
    return this.teamBooks.get(teamId);
  }

  teams(): ReadonlyMap<TeamId, TeamBook> {
    return this.teamBooks;
  }

  /** The members that are closed and whose credits have not been redistributed yet. */
  closingMembers(): readonly MemberId[] {
    return [...this.closing.keys()];
  }

  /**
   * Whether a member has written its final balance with a closed one. Also true once the closed
   * member is settled.
   */
  hasBalanced(memberId: MemberId, closedMemberId: MemberId): boolean {
    return this.closing.get(closedMemberId)?.balancedBy.has(memberId) ?? true;
  }

  burnSequenceOf(memberId: MemberId): number {
    return this.burnSequences.get(memberId) ?? 0;
  }

  /**
   * Credits that closed members hold and that cannot be used yet. Transfers with a closed member
   * are included only once they are in a balance record.
   */
  stranded(teamId: TeamId): number {
    const book = this.teamBooks.get(teamId);
    if (!book) return 0;
    return [...this.closing.keys()].reduce((sum, id) => sum + book.grantedTo(id), 0);
  }

  reduce(record: LogRecord): BookChange | undefined {
    this.offset = record.offset;
    const change = this.roster.reduce(record);
    if (change) return this.applyRosterChange(change);
    if (!CREDIT_RECORD_KINDS.has(kindOf(record.payload))) return undefined;
    const parsed = creditRecordSchema.safeParse(record.payload);
    if (!parsed.success) return undefined;
    const { data } = parsed;
    if (data.kind === 'credit-limits') return this.setLimits(data);
    if (data.kind === 'credit-burn') return this.burn(data);
    return this.applyBalance(data);
  }

  toSnapshot(): CreditSnapshot {
    return {
      teams: [...this.teamBooks].map(([teamId, book]) => ({
        teamId,
        limit: book.limit,
        limitVersion: book.limitVersion,
        debt: book.debt,
        unassigned: book.unassigned,
        granted: [...book.granted].map(([memberId, credits]) => ({ memberId, credits })),
      })),
      closing: [...this.closing.values()].map(({ memberId, closedOffset, balancedBy }) => ({
        memberId,
        closedOffset,
        balancedBy: [...balancedBy],
      })),
      burnSequences: [...this.burnSequences].map(([memberId, sequence]) => ({
        memberId,
        sequence,
      })),
      roster: this.roster.toSnapshot(),
    };
  }

  load(includedOffset: number, snapshot: CreditSnapshot): void {
    this.offset = includedOffset;
    this.roster.load(snapshot.roster);
    this.teamBooks.clear();
    this.closing.clear();
    this.burnSequences.clear();
    snapshot.teams.forEach(({ teamId, granted, ...rest }) => {
      const book = Object.assign(new TeamBook(), rest);
      granted.forEach(({ memberId, credits }) => book.add(memberId, credits));
      this.teamBooks.set(teamId, book);
    });
    snapshot.closing.forEach(({ memberId, closedOffset, balancedBy }) => {
      const closing = { memberId, closedOffset, balancedBy: new Set(balancedBy) };
      this.closing.set(memberId, closing);
    });
    snapshot.burnSequences.forEach(({ memberId, sequence }) => {
      this.burnSequences.set(memberId, sequence);
    });
  }

  private applyRosterChange(change: RosterChange): BookChange {
    if (change.kind === 'closed') this.beginClosing(change.member.memberId);
    else change.superseded.forEach(({ memberId }) => this.beginClosing(memberId));
    const active = this.activeIds();
    this.teamBooks.forEach((book) => book.distributeUnassigned(active));
    this.settleClosedMembers();
    return { kind: 'roster', change };
  }

  private beginClosing(memberId: MemberId): void {
    const closedOffset = this.offset;
    this.closing.set(memberId, { memberId, closedOffset, balancedBy: new Set() });
  }

  private setLimits(record: LimitsRecord): BookChange {
    const active = this.activeIds();
    record.limits.forEach(({ teamId, limit }) => {
      const book = this.teamBooks.get(teamId) ?? new TeamBook();
      this.teamBooks.set(teamId, book);
      book.setLimit(limit, record.configVersion, active);
    });
    return { kind: 'limits', record };
  }

  private burn(record: BurnRecord): BookChange | undefined {
    const { memberId, sequence, burns } = record;
    if (!this.roster.isActive(memberId) && !this.closing.has(memberId)) return undefined;
    if (sequence !== this.burnSequenceOf(memberId) + 1) return undefined;
    this.burnSequences.set(memberId, sequence);
    burns.forEach(({ teamId, credits }) => this.teamBooks.get(teamId)?.burn(memberId, credits));
    return { kind: 'burnt', record };
  }

  private applyBalance(record: BalanceRecord): BookChange | undefined {
    const { memberId, closedMemberId, balances } = record;
    const closing = this.closing.get(closedMemberId);
    if (!closing || !this.roster.isActive(memberId)) return undefined;
    if (closing.balancedBy.has(memberId)) return undefined;
    closing.balancedBy.add(memberId);
    balances.forEach(({ teamId, net }) => {
      const book = this.teamBooks.get(teamId);
      book?.add(memberId, net);
      book?.add(closedMemberId, -net);
    });
    this.settleClosedMembers();
    return { kind: 'balanced', record };
  }

  /**
   * Redistributes the credits of closed members once every balance with them is in the log. Closed
   * members may have exchanged credits with each other, which no balance record shows. Only the sum
   * of the credits of all closed members is certain, so they are settled together.
   */
  private settleClosedMembers(): void {
    const closed = [...this.closing.values()];
    if (closed.length === 0 || !closed.every((member) => this.isFullyBalanced(member))) return;
    const active = this.activeIds();
    this.teamBooks.forEach((book) => {
      const credits = closed.reduce((sum, { memberId }) => sum + book.grantedTo(memberId), 0);
      closed.forEach(({ memberId }) => book.granted.delete(memberId));
      book.distribute(credits, active);
    });
    closed.forEach(({ memberId }) => this.burnSequences.delete(memberId));
    this.closing.clear();
  }

  /**
   * Whether every active member that may have exchanged credits with the closed one has written its
   * balance, and at least one active member has waited for the closed member's work to end.
   * Otherwise, if all active members had joined after the closure, the credits would be
   * redistributed at once, while work may still run on them.
   */
  private isFullyBalanced({ closedOffset, balancedBy }: ClosedMember): boolean {
    const active = this.roster.active();
    const waited = active.some(({ memberId }) => balancedBy.has(memberId));
    return (
      waited &&
      active
        .filter(({ joinOffset }) => joinOffset < closedOffset)
        .every(({ memberId }) => balancedBy.has(memberId))
    );
  }

  private activeIds(): readonly MemberId[] {
    return this.roster.active().map(({ memberId }) => memberId);
  }
}
