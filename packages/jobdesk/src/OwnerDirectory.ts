/**
 * Tracks what an entry knows of the others: the members, the owner of the journal, and which
 * processes have ended. It queries the store, and the peers while the store is unavailable.
 */
import { type Clock, Disposable, EventEmitter, type Logger } from '@acaciadock/core';
import {
  type EntryProcess,
  type GroupMember,
  isSameMember,
  type OwnerNotice,
  type OwnershipGroup,
  type PeerAnswer,
  type PeerNotices,
} from '@acaciadock/journal';
import { Succession } from './Succession.js';

/** Minimum interval between two lookups of the owner, in milliseconds. */
const MIN_REFRESH_INTERVAL_MS = 200;

/** How often the members are listed while the membership doesn't change, in milliseconds. */
const MEMBERS_PERIOD_MS = 3_000;

/** Number of peers queried at once for the owner while the store is unavailable. */
const PEERS_PER_QUERY = 3;

export interface OwnerDirectoryDeps {
  readonly group: OwnershipGroup;
  /** Queries other entries directly, without the store. */
  readonly peers: PeerNotices;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class OwnerDirectory extends Disposable {
  private readonly noticeEmitter = this.register(new EventEmitter<OwnerNotice>());

  /** Fires when a new owner, or the release of the current one, becomes known. */
  readonly onNotice = this.noticeEmitter.event;

  private newest: OwnerNotice | undefined;

  /** All members as of the last listing. */
  private members: readonly GroupMember[] = [];

  /** Epochs whose owner has announced its release. */
  private readonly releasedEpochs = new Set<number>();

  /** Monotonic time of the last listing; undefined before the first one. */
  private lastListedMs: number | undefined;

  /** Whether the membership has changed since the last listing. */
  private isListOutdated = true;

  private lastRefreshMs = -Infinity;

  private nextPeerIndex = 0;

  /** The latest process start time of each entry that was seen in the group. */
  private readonly newestBootMs = new Map<string, number>();

  constructor(
    private readonly self: GroupMember,
    private readonly deps: OwnerDirectoryDeps,
  ) {
    super();
    this.newestBootMs.set(self.entryId, self.bootMs);
  }

  /** The announcement with the highest epoch seen so far. */
  get notice(): OwnerNotice | undefined {
    return this.newest;
  }

  /** Whether the entry's process that started at `bootMs` has ended: a later one is a member. */
  hasProcessExited(entryId: string, bootMs: number): boolean {
    return (this.newestBootMs.get(entryId) ?? 0) > bootMs;
  }

  /** All members as of the last listing, possibly this entry among them. */
  get listedMembers(): readonly GroupMember[] {
    return this.members;
  }

  /** Whether the owner of this epoch has announced its release, also if there is a later owner. */
  hasReleased(epoch: number): boolean {
    return this.releasedEpochs.has(epoch);
  }

  isMember(member: GroupMember): boolean {
    return this.members.some((other) => isSameMember(other, member));
  }

  /**
   * Returns the member to claim after the previous owner, or undefined if there is none. Before the first
   * listing nobody knows whether a restarted owner is alone.
   */
  successorOf(previousOwner: GroupMember | undefined): GroupMember | undefined {
    const successor = Succession.successor(this.candidates, previousOwner);
    const isUnlisted = this.lastListedMs === undefined;
    if (isUnlisted && successor && Succession.isRestart(successor, previousOwner)) return undefined;
    return successor;
  }

  /**
   * The listed members and this entry itself. The list may be missing this process for as long as an
   * earlier one is still a member.
   */
  private get candidates(): readonly GroupMember[] {
    return [...this.members.filter(({ entryId }) => entryId !== this.self.entryId), this.self];
  }

  /** Looks up the current owner, unless it was looked up a moment ago. */
  async refresh(isStoreLost: boolean): Promise<void> {
    const nowMs = this.deps.clock.monotonicMs();
    if (nowMs - this.lastRefreshMs < MIN_REFRESH_INTERVAL_MS) return;
    this.lastRefreshMs = nowMs;
    // A read from an unresponsive store takes seconds to fail, so the peers are asked concurrently.
    if (isStoreLost) void this.queryPeers();
    await this.readNotice();
  }

  /** Reads the announcement in the store; returns false if the store does not answer. */
  async readNotice(): Promise<boolean> {
    const notice = await this.deps.group.announced();
    if (notice.isErr()) {
      void this.queryPeers();
      return false;
    }
    this.accept(notice.value, 'store');
    return true;
  }

  /** Queries peers: this entry may be cut off from the store while the others have a new owner. */
  async queryPeers(): Promise<void> {
    const peers = this.members.filter(({ entryId }) => entryId !== this.self.entryId);
    const count = Math.min(PEERS_PER_QUERY, peers.length);
    const asked = Array.from({ length: count }, (_, index) => {
      const peer = peers[(this.nextPeerIndex + index) % peers.length];
      return peer ? this.deps.peers.exchangeNotice(peer.peerAddress) : undefined;
    });
    this.nextPeerIndex += count;
    (await Promise.all(asked)).forEach((answer) => this.accept(answer?.notice, 'peer'));
  }

  /** Asks an entry what it knows of the owner and of itself; undefined if it does not answer. */
  async queryPeer({ peerAddress }: GroupMember): Promise<PeerAnswer | undefined> {
    const answer = await this.deps.peers.exchangeNotice(peerAddress, this.newest);
    if (answer?.process) this.recordProcess(answer.process);
    this.accept(answer?.notice, 'peer');
    return answer;
  }

  /** Accepts an announcement if it is newer than the latest one known, also while the entry stops. */
  accept(notice: OwnerNotice | undefined, source: 'store' | 'peer' | 'self'): void {
    if (!notice) return;
    if (notice.isReleased) this.releasedEpochs.add(notice.epoch);
    const knownEpoch = this.newest?.epoch ?? -1;
    const isRelease = notice.isReleased && this.newest?.isReleased !== true;
    const isNewer = notice.epoch > knownEpoch || (isRelease && notice.epoch === knownEpoch);
    if (!isNewer) return;
    this.newest = notice;
    this.deps.logger.info('owner-known', {
      owner: notice.owner.entryId,
      epoch: notice.epoch,
      isReleased: notice.isReleased,
      source,
    });
    this.noticeEmitter.fire(notice);
  }

  /**
   * Lists the members again after a change or when the last listing is old. A failed listing is
   * repeated at the next call, because the list determines the successor.
   */
  async refreshMembers(hasChanged: boolean): Promise<void> {
    if (hasChanged) this.isListOutdated = true;
    const ageMs = this.deps.clock.monotonicMs() - (this.lastListedMs ?? -Infinity);
    if (this.isListOutdated || ageMs > MEMBERS_PERIOD_MS) await this.listMembers();
  }

  /** Reads the list of live members; returns false if the store does not answer. */
  async listMembers(): Promise<boolean> {
    const members = await this.deps.group.members();
    if (members.isErr()) return false;
    this.members = members.value;
    this.lastListedMs = this.deps.clock.monotonicMs();
    this.isListOutdated = false;
    members.value.forEach((member) => this.recordProcess(member));
    return true;
  }

  private recordProcess({ entryId, bootMs }: EntryProcess): void {
    const newest = this.newestBootMs.get(entryId) ?? 0;
    this.newestBootMs.set(entryId, Math.max(newest, bootMs));
  }
}
