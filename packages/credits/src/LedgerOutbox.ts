/**
 * Outbox of the control-stream records that this member has to write: limits missing from the
 * credit book, credits to burn, and final balances with closed members. A record is appended again
 * periodically until it has been read back from the log.
 */
import { type TeamId } from '@acaciadock/core';
import { type MemberId, type MemberStatus } from '@acaciadock/membership';
import { type BalanceRecord, type BurnRecord, type LimitsRecord } from './CreditRecords.js';
import { type CreditBook } from './CreditBook.js';
import { type CreditChannel } from './CreditChannel.js';
import { closingWaitMs, type CreditTiming } from './CreditTiming.js';

/** Team limits of one configuration version, and the longest task lease of any service in it. */
export interface LimitsInForce {
  readonly configVersion: number;
  readonly limits: ReadonlyMap<TeamId, number>;
  readonly longestLeaseMs: number;
}

/** A member that is closed and, as far as is known here, not settled yet. */
interface ClosedMember {
  /** When this member read the closure from the log, in monotonic milliseconds. */
  readonly readAtMs: number;
  readonly status: MemberStatus;
}

export class LedgerOutbox {
  private limitsInForce: LimitsInForce = {
    configVersion: -1,
    limits: new Map(),
    longestLeaseMs: 0,
  };

  private longestLeaseMs = 0;

  private limitsDirty = true;

  private limitsMissingSinceMs: number | undefined;

  private limitsSubmittedAtMs = Number.NEGATIVE_INFINITY;

  /** The burn record that has been prepared and not been read back from the log yet. */
  private pending: BurnRecord | undefined;

  private burnSubmittedAtMs = 0;

  /** The members that are closed and not settled yet. */
  private readonly closing = new Map<MemberId, ClosedMember>();

  private readonly balanceSubmittedAtMs = new Map<MemberId, number>();

  constructor(
    private readonly memberId: MemberId,
    private readonly book: CreditBook,
    private readonly timing: CreditTiming,
  ) {}

  setLimits(limitsInForce: LimitsInForce): void {
    if (limitsInForce.configVersion < this.limitsInForce.configVersion) return;
    this.limitsInForce = limitsInForce;
    this.longestLeaseMs = Math.max(this.longestLeaseMs, limitsInForce.longestLeaseMs);
    this.limitsDirty = true;
  }

  /** Called after the credit book has changed: the missing limits must be recomputed. */
  handleBookChange(): void {
    this.limitsDirty = true;
    if (this.pending && this.book.burnSequenceOf(this.memberId) >= this.pending.sequence) {
      this.pending = undefined;
    }
  }

  recordClosedMember(memberId: MemberId, status: MemberStatus, nowMs: number): void {
    if (!this.closing.has(memberId)) this.closing.set(memberId, { readAtMs: nowMs, status });
  }

  /** Drops the state of closed members whose credits the book has already redistributed. */
  forgetSettledMembers(): void {
    const open = new Set(this.book.closingMembers());
    [...this.closing.keys()]
      .filter((memberId) => !open.has(memberId))
      .forEach((memberId) => {
        this.closing.delete(memberId);
        this.balanceSubmittedAtMs.delete(memberId);
      });
  }

  /** The team's credits in a burn record that has not been read back from the log yet. */
  creditsInPendingBurn(teamId: TeamId): number {
    return this.pending?.burns.find((burn) => burn.teamId === teamId)?.credits ?? 0;
  }

  /** Builds the next burn record from the reserved credits, unless one is still pending. */
  prepareBurn(reserved: ReadonlyMap<TeamId, number>): void {
    if (this.pending || reserved.size === 0) return;
    this.pending = {
      kind: 'credit-burn',
      memberId: this.memberId,
      sequence: this.book.burnSequenceOf(this.memberId) + 1,
      burns: [...reserved].map(([teamId, credits]) => ({ teamId, credits })),
    };
    this.burnSubmittedAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Returns the records to append now. */
  dueRecords(channels: ReadonlyMap<MemberId, CreditChannel>, nowMs: number): readonly object[] {
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
      this.limitsMissingSinceMs = undefined;
      return undefined;
    }
    this.limitsMissingSinceMs ??= nowMs;
    if (nowMs - this.limitsMissingSinceMs < this.rankAmongActive() * this.timing.staggerMs)
      return undefined;
    if (nowMs - this.limitsSubmittedAtMs < this.timing.recordRetryMs) return undefined;
    this.limitsSubmittedAtMs = nowMs;
    const { configVersion } = this.limitsInForce;
    return { kind: 'credit-limits', configVersion, limits };
  }

  private missingLimits(): { teamId: TeamId; limit: number }[] {
    const { configVersion, limits } = this.limitsInForce;
    const teamIds = new Set([...limits.keys(), ...this.book.teams().keys()]);
    return [...teamIds]
      .map((teamId) => ({ teamId, limit: limits.get(teamId) ?? 0 }))
      .filter(({ teamId, limit }) => {
        const book = this.book.team(teamId);
        if (!book) return limit > 0;
        return book.limit !== limit && book.limitVersion < configVersion;
      });
  }

  private rankAmongActive(): number {
    return this.book.roster.active().filter(({ memberId }) => memberId < this.memberId).length;
  }

  private dueBurn(nowMs: number): BurnRecord | undefined {
    if (!this.pending) return undefined;
    if (nowMs - this.burnSubmittedAtMs < this.timing.recordRetryMs) return undefined;
    this.burnSubmittedAtMs = nowMs;
    return this.pending;
  }

  private dueBalances(
    channels: ReadonlyMap<MemberId, CreditChannel>,
    nowMs: number,
  ): readonly BalanceRecord[] {
    return [...this.closing]
      .filter(([closedId, closing]) => this.isBalanceDue(closedId, closing, nowMs))
      .map(([closedMemberId]) => {
        this.balanceSubmittedAtMs.set(closedMemberId, nowMs);
        const balances = channels.get(closedMemberId)?.balances() ?? [];
        return {
          kind: 'credit-balance',
          memberId: this.memberId,
          closedMemberId,
          balances: [...balances],
        };
      });
  }

  private isBalanceDue(closedId: MemberId, closing: ClosedMember, nowMs: number): boolean {
    if (this.book.hasBalanced(this.memberId, closedId)) return false;
    const submittedAtMs = this.balanceSubmittedAtMs.get(closedId) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - submittedAtMs < this.timing.recordRetryMs) return false;
    if (closing.status === 'left') return true;
    return nowMs - closing.readAtMs >= closingWaitMs(this.timing, this.longestLeaseMs);
  }
}
