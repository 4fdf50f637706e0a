/**
 * Tracks the liveness of the other members from their heartbeats. Support is a lease (after Gray
 * and Cheriton, 1989): a peer that echoes one of our heartbeats supports us, and the lease counts
 * from when we sent that heartbeat, by our own monotonic clock. Times of different clocks are never
 * compared.
 */
import { type Heartbeat } from '@acaciadock/peers';
import { type MemberId } from './MembershipRecords.js';
import { type MembershipTiming } from './MembershipTiming.js';

interface PeerState {
  heardAtMs: number;
  /** When the peer sent its latest heartbeat, by its own clock; -1 before the first. */
  sentAtMs: number;
  controlOffset: number;
  /** When we sent the heartbeat that the peer echoed last, by our clock. */
  echoedAtMs: number;
  suspects: ReadonlySet<MemberId>;
  stopping: boolean;
}

const NEVER_MS = Number.NEGATIVE_INFINITY;

export class Liveness {
  private readonly peers = new Map<MemberId, PeerState>();

  /** When we last voted to evict each member. */
  private readonly ownVoteAtMs = new Map<MemberId, number>();

  constructor(private readonly timing: MembershipTiming) {}

  /** Starts tracking a member as if it had been heard from now. */
  watch(memberId: MemberId, nowMs: number): void {
    if (this.peers.has(memberId)) return;
    this.peers.set(memberId, {
      heardAtMs: nowMs,
      sentAtMs: -1,
      controlOffset: -1,
      echoedAtMs: NEVER_MS,
      suspects: new Set(),
      stopping: false,
    });
  }

  forget(memberId: MemberId): void {
    this.peers.delete(memberId);
  }

  /** Restarts all silence timers after a pause of this process, in which no peer could be heard. */
  resetSilence(nowMs: number): void {
    this.peers.forEach((peer) => Object.assign(peer, { heardAtMs: nowMs }));
  }

  recordHeartbeat(memberId: MemberId, heartbeat: Heartbeat, nowMs: number): void {
    const peer = this.peers.get(memberId);
    if (!peer || heartbeat.sentAtMs <= peer.sentAtMs) return;
    peer.heardAtMs = nowMs;
    peer.sentAtMs = heartbeat.sentAtMs;
    peer.controlOffset = Math.max(peer.controlOffset, heartbeat.controlOffset);
    peer.echoedAtMs = Math.max(peer.echoedAtMs, heartbeat.echoSentAtMs ?? NEVER_MS);
    peer.suspects = new Set(heartbeat.suspects);
    peer.stopping = heartbeat.stopping;
  }

  /** How long the member has been silent; 0 if it is not tracked. */
  silentMs(memberId: MemberId, nowMs: number): number {
    const peer = this.peers.get(memberId);
    return peer ? nowMs - peer.heardAtMs : 0;
  }

  isLive(memberId: MemberId, liveMs: number, nowMs: number): boolean {
    const peer = this.peers.get(memberId);
    return peer !== undefined && peer.sentAtMs >= 0 && nowMs - peer.heardAtMs <= liveMs;
  }

  isStopping(memberId: MemberId): boolean {
    return this.peers.get(memberId)?.stopping ?? false;
  }

  /** Whether the member supports us: the heartbeat it echoed last is no older than `fenceMs`. */
  supportsUs(memberId: MemberId, nowMs: number): boolean {
    const peer = this.peers.get(memberId);
    return peer !== undefined && nowMs - peer.echoedAtMs <= this.timing.fenceMs;
  }

  /**
   * Whether the voter votes to evict the member and the vote is recent enough to count. The voter
   * sent the vote after it had received the heartbeat that it echoed last, so the vote is not older
   * than that heartbeat, which we sent at a time known by our own clock.
   */
  votesToEvict(voterId: MemberId, memberId: MemberId, nowMs: number): boolean {
    const voter = this.peers.get(voterId);
    if (!voter?.suspects.has(memberId)) return false;
    return nowMs - voter.echoedAtMs <= this.timing.voteFreshMs;
  }

  controlOffsetOf(memberId: MemberId): number {
    return this.peers.get(memberId)?.controlOffset ?? -1;
  }

  /** Records that we vote to evict this member. */
  recordVote(memberId: MemberId, nowMs: number): void {
    this.ownVoteAtMs.set(memberId, nowMs);
  }

  /** The heartbeat time to echo to the member; undefined while we do not support it. */
  echoFor(memberId: MemberId, nowMs: number): number | undefined {
    const peer = this.peers.get(memberId);
    if (!peer || peer.sentAtMs < 0) return undefined;
    if (nowMs - peer.heardAtMs >= this.timing.silenceMs) return undefined;
    const votedAtMs = this.ownVoteAtMs.get(memberId) ?? NEVER_MS;
    if (nowMs - votedAtMs <= this.timing.voteBindsMs) return undefined;
    return peer.sentAtMs;
  }
}
