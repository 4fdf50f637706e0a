/**
 * Whether this member may start work at an instant. It needs a proof, no older than the fence
 * time, that no eviction of it was in the log: either the log was read to its end, or a majority
 * of the roster stands by it, without which no eviction is valid. Both proofs count from when the
 * question was sent, by the monotonic clock, so that a pause of any length can only age them.
 */
import { type ConfigFreshness, type FenceReason } from '@acaciadock/core';
import { type ListWatch } from './ListWatch.js';
import { type Liveness } from './Liveness.js';
import { type MemberId } from './MembershipRecords.js';
import { type MembershipTiming } from './MembershipTiming.js';
import { type RosterState } from './RosterState.js';

export class FenceRules {
  private logConfirmedAtMs = Number.NEGATIVE_INFINITY;

  private tickedAtMs: number | undefined;

  private freshness: ConfigFreshness | undefined;

  constructor(
    private readonly memberId: MemberId,
    private readonly roster: RosterState,
    private readonly liveness: Liveness,
    private readonly list: ListWatch,
    private readonly timing: MembershipTiming,
  ) {}

  /** Lets the configuration's age close the fence too. */
  watchFreshness(freshness: ConfigFreshness): void {
    this.freshness = freshness;
  }

  /** The control stream was read to its end by a read sent at this instant. */
  confirmByLog(sentAtMs: number): void {
    this.logConfirmedAtMs = Math.max(this.logConfirmedAtMs, sentAtMs);
  }

  /** Notes that the process runs; a gap between two notes shows a pause. */
  tick(nowMs: number): void {
    this.tickedAtMs = nowMs;
  }

  reason(nowMs: number): FenceReason | undefined {
    if (!this.roster.isActive(this.memberId)) return 'not-a-member';
    if (this.tickedAtMs !== undefined && nowMs - this.tickedAtMs > this.timing.fenceMs) {
      return 'paused';
    }
    const cutOff = this.cutOff(nowMs);
    if (cutOff) return cutOff;
    const self = this.roster.get(this.memberId);
    if (self && this.list.absentMs(self.entryId, nowMs) >= this.timing.absenceMs) {
      return 'missing-from-list';
    }
    return this.isStale() ? 'stale-configuration' : undefined;
  }

  private isStale(): boolean {
    if (!this.freshness) return false;
    const behindMs = this.freshness.behindForMs() ?? 0;
    return !this.freshness.isReady() || behindMs > this.timing.staleMs;
  }

  private cutOff(nowMs: number): FenceReason | undefined {
    if (nowMs - this.logConfirmedAtMs <= this.timing.fenceMs) return undefined;
    const members = this.roster.active();
    const others = members.filter(({ memberId }) => memberId !== this.memberId);
    const supporters = others.filter(({ memberId }) =>
      this.liveness.supportsUs(memberId, nowMs),
    ).length;
    if ((supporters + 1) * 2 > members.length) return undefined;
    const hearsAnyone = others.some(({ memberId }) =>
      this.liveness.isLive(memberId, this.timing.liveMs, nowMs),
    );
    return hearsAnyone ? 'minority-without-log' : 'isolated';
  }
}
