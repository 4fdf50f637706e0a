/**
 * Decides whether this member may start work at a given time. The member needs proof, no older
 * than `fenceMs`, that the log does not contain an eviction of it: either it has read the log to
 * its end, or a majority of the roster supports it, which rules out a valid eviction. The age of
 * both proofs counts from when the request was sent, by the monotonic clock, so a pause of the
 * process, however long, can only make them older.
 */
import { type ConfigFreshness, type FenceReason } from '@acaciadock/core';
import { type InstanceListTracker } from './InstanceListTracker.js';
import { type Liveness } from './Liveness.js';
import { type MemberId } from './MembershipRecords.js';
import { type MembershipTiming } from './MembershipTiming.js';
import { type RosterState } from './RosterState.js';

export class FenceRules {
  private logConfirmedAtMs = Number.NEGATIVE_INFINITY;

  private lastTickMs: number | undefined;

  private freshness: ConfigFreshness | undefined;

  constructor(
    private readonly memberId: MemberId,
    private readonly roster: RosterState,
    private readonly liveness: Liveness,
    private readonly list: InstanceListTracker,
    private readonly timing: MembershipTiming,
  ) {}

  /** Makes the fence close as well when the configuration is stale. */
  watchFreshness(freshness: ConfigFreshness): void {
    this.freshness = freshness;
  }

  /** Records that a read sent at `sentAtMs` reached the end of the control stream. */
  confirmByLog(sentAtMs: number): void {
    this.logConfirmedAtMs = Math.max(this.logConfirmedAtMs, sentAtMs);
  }

  /** Records that the process is running; a long gap between two ticks means it was paused. */
  tick(nowMs: number): void {
    this.lastTickMs = nowMs;
  }

  /** Why this member may not start work at `nowMs`; undefined if it may. */
  reason(nowMs: number): FenceReason | undefined {
    if (!this.roster.isActive(this.memberId)) return 'not-a-member';
    if (this.lastTickMs !== undefined && nowMs - this.lastTickMs > this.timing.fenceMs) {
      return 'paused';
    }
    const isolationReason = this.isolationReason(nowMs);
    if (isolationReason) return isolationReason;
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

  private isolationReason(nowMs: number): FenceReason | undefined {
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
