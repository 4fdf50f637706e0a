/**
 * Which records this member wants in the log: limits that the book lacks, credits to burn, and
 * balances with closed members. A record is offered again until it is read back.
 */
import { type TeamId } from '@acaciadock/core';
import { type MemberId, type MemberStatus } from '@acaciadock/membership';
import { type BalanceRecord, type BurnRecord, type LimitsRecord } from './CreditRecords.js';
import { type CreditBook } from './CreditBook.js';
import { type CreditChannel } from './CreditChannel.js';
import { closingWaitMs, type CreditTiming } from './CreditTiming.js';

/** Limits as of a version of the configuration, and the longest task lease of any service. */
export interface LimitsInForce {
  readonly configVersion: number;
  readonly limits: ReadonlyMap<TeamId, number>;
  readonly longestLeaseMs: number;
}

interface Closing {
  readonly readAtMs: number;
  readonly status: MemberStatus;
}

export class LedgerRecords {
  private inForce: LimitsInForce = { configVersion: -1, limits: new Map(), longestLeaseMs: 0 };

  private longestLeaseMs = 0;

  private limitsDirty = true;

  private limitsSinceMs: number | undefined;

  private limitsOfferedAtMs = Number.NEGATIVE_INFINITY;

  private pending: BurnRecord | undefined;

  private burnOfferedAtMs = 0;

  private readonly closing = new Map<MemberId, Closing>();

  private readonly balanceOfferedAtMs = new Map<MemberId, number>();

  constructor(
    private readonly memberId: MemberId,
    private readonly book: CreditBook,
    private readonly timing: CreditTiming,
  ) {}

  setLimits(inForce: LimitsInForce): void {
    if (inForce.configVersion < this.inForce.configVersion) return;
    this.inForce = inForce;
    this.longestLeaseMs = Math.max(this.longestLeaseMs, inForce.longestLeaseMs);
    this.limitsDirty = true;
  }

  /** The book has changed: what it lacks is worked out anew. */
  bookChanged(): void {
    this.limitsDirty = true;
    if (this.pending && this.book.burnSequenceOf(this.memberId) >= this.pending.sequence) {
      this.pending = undefined;
    }
  }

  noteClosed(memberId: MemberId, status: MemberStatus, nowMs: number): void {
    if (!this.closing.has(memberId)) this.closing.set(memberId, { readAtMs: nowMs, status });
  }

  /** Forgets closed members that the book has settled. */
  noteSettled(): void {
    const open = new Set(this.book.closingMembers());
    [...this.closing.keys()]
      .filter((memberId) => !open.has(memberId))
      .forEach((memberId) => {
        this.closing.delete(memberId);
        this.balanceOfferedAtMs.delete(memberId);
      });
  }

  /** Credits of the team that are in a burn record of ours whose fate is not read yet. */
  inPendingBurn(teamId: TeamId): number {
    return this.pending?.burns.find((burn) => burn.teamId === teamId)?.credits ?? 0;
  }

  /** Credits put aside by team become the next burn record, unless one is still pending. */
  offerBurn(aside: ReadonlyMap<TeamId, number>): void {
    if (this.pending || aside.size === 0) return;
    this.pending = {
      kind: 'credit-burn',
      memberId: this.memberId,
      sequence: this.book.burnSequenceOf(this.memberId) + 1,
      burns: [...aside].map(([teamId, credits]) => ({ teamId, credits })),
    };
    this.burnOfferedAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Records to append now. */
  due(channels: ReadonlyMap<MemberId, CreditChannel>, nowMs: number): readonly object[] {
    if (!this.book.roster.isActive(this.memberId)) return [];
    const limits = this.dueLimits(nowMs);
    const burn = this.dueBurn(nowMs);
    const balances = this.dueBalances(channels, nowMs);
    return [...(limits ? [limits] : []), ...(burn ? [burn] : []), ...balances];
  }

  private dueLimits(nowMs: number): LimitsRecord | undefined {
    if (!this.limitsDirty) return undefined;
    const limits = this.missingLimits();
    if (limits.length === 0) {
      this.limitsDirty = false;
      this.limitsSinceMs = undefined;
      return undefined;
    }
    this.limitsSinceMs ??= nowMs;
    if (nowMs - this.limitsSinceMs < this.rank() * this.timing.staggerMs) return undefined;
    if (nowMs - this.limitsOfferedAtMs < this.timing.repeatRecordMs) return undefined;
    this.limitsOfferedAtMs = nowMs;
    const { configVersion } = this.inForce;
    return { kind: 'credit-limits', configVersion, limits };
  }

  private missingLimits(): { teamId: TeamId; limit: number }[] {
    const { configVersion, limits } = this.inForce;
    const teamIds = new Set([...limits.keys(), ...this.book.teams().keys()]);
    return [...teamIds]
      .map((teamId) => ({ teamId, limit: limits.get(teamId) ?? 0 }))
      .filter(({ teamId, limit }) => {
        const book = this.book.team(teamId);
        if (!book) return limit > 0;
        return book.limit !== limit && book.limitVersion < configVersion;
      });
  }

  private rank(): number {
    return this.book.roster.active().filter(({ memberId }) => memberId < this.memberId).length;
  }

  private dueBurn(nowMs: number): BurnRecord | undefined {
    if (!this.pending) return undefined;
    if (nowMs - this.burnOfferedAtMs < this.timing.repeatRecordMs) return undefined;
    this.burnOfferedAtMs = nowMs;
    return this.pending;
  }

  private dueBalances(
    channels: ReadonlyMap<MemberId, CreditChannel>,
    nowMs: number,
  ): readonly BalanceRecord[] {
    return [...this.closing]
      .filter(([closedId, closing]) => this.isBalanceDue(closedId, closing, nowMs))
      .map(([closedMemberId]) => {
        this.balanceOfferedAtMs.set(closedMemberId, nowMs);
        const balances = channels.get(closedMemberId)?.balances() ?? [];
        return {
          kind: 'credit-balance',
          memberId: this.memberId,
          closedMemberId,
          balances: [...balances],
        };
      });
  }

  private isBalanceDue(closedId: MemberId, closing: Closing, nowMs: number): boolean {
    if (this.book.hasBalanced(this.memberId, closedId)) return false;
    const offeredAtMs = this.balanceOfferedAtMs.get(closedId) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - offeredAtMs < this.timing.repeatRecordMs) return false;
    if (closing.status === 'left') return true;
    return nowMs - closing.readAtMs >= closingWaitMs(this.timing, this.longestLeaseMs);
  }
}
