/**
 * What an entry knows of the others: who is a member, who owns the journal, and which processes are
 * over. It asks the store, and the peers while the store can't tell.
 */
import { type Clock, Disposable, EventEmitter, type Logger } from '@acaciadock/core';
import {
  type GroupMember,
  isSameMember,
  type OwnerNotice,
  type OwnershipGroup,
  type PeerNotices,
} from '@acaciadock/journal';
import { Succession } from './Succession.js';

/** Between two questions for the owner while it is not known or does not answer. */
const OWNER_REFRESH_MS = 200;

/** The members are listed again after this time without a change, in milliseconds. */
const MEMBERS_PERIOD_MS = 3_000;

/** Peers asked at once who the owner is while the store can't tell. */
const PEERS_ASKED = 3;

export interface OwnerDirectoryDeps {
  readonly group: OwnershipGroup;
  /** The way to the other entries that does not lead over the store. */
  readonly peers: PeerNotices;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class OwnerDirectory extends Disposable {
  private readonly noticeEmitter = this.register(new EventEmitter<OwnerNotice>());

  /** Fires when the owner, or its release, becomes known. */
  readonly onNotice = this.noticeEmitter.event;

  private newest: OwnerNotice | undefined;

  /** All entries, as last listed. */
  private members: readonly GroupMember[] = [];

  private listedMs = -Infinity;

  private askedMs = -Infinity;

  private peersAsked = 0;

  /** The newest start of each entry's process that was seen in the group. */
  private readonly newestBootMs = new Map<string, number>();

  constructor(
    private readonly self: GroupMember,
    private readonly deps: OwnerDirectoryDeps,
  ) {
    super();
    this.newestBootMs.set(self.entryId, self.bootMs);
  }

  /** The announcement with the highest epoch so far. */
  get notice(): OwnerNotice | undefined {
    return this.newest;
  }

  /** Whether that process of an entry is over, because a later one of the entry is a member. */
  isProcessOver(entryId: string, bootMs: number): boolean {
    return (this.newestBootMs.get(entryId) ?? 0) > bootMs;
  }

  isMember(member: GroupMember): boolean {
    return this.members.some((other) => isSameMember(other, member));
  }

  /** The member to claim after `former`. */
  successorOf(former: GroupMember | undefined): GroupMember | undefined {
    return Succession.successor(this.members, former);
  }

  /** Asks the store who the owner is, unless that was done a moment ago. */
  async refresh(isStoreLost: boolean): Promise<void> {
    const nowMs = this.deps.clock.monotonicMs();
    if (nowMs - this.askedMs < OWNER_REFRESH_MS) return;
    this.askedMs = nowMs;
    // A silent store is noticed only after seconds; once lost, the peers are asked beside it.
    if (isStoreLost) void this.askPeers();
    await this.readNotice();
  }

  /** Reads the announcement in the store; false if the store can't tell. */
  async readNotice(): Promise<boolean> {
    const notice = await this.deps.group.announced();
    if (notice.isErr()) {
      void this.askPeers();
      return false;
    }
    this.take(notice.value, 'store');
    return true;
  }

  /** An entry may be cut off from the store while the others have a new owner. */
  async askPeers(): Promise<void> {
    const peers = this.members.filter(({ entryId }) => entryId !== this.self.entryId);
    const count = Math.min(PEERS_ASKED, peers.length);
    const asked = Array.from({ length: count }, (_, index) => {
      const peer = peers[(this.peersAsked + index) % peers.length];
      return peer ? this.deps.peers.ask(peer.peerAddress) : undefined;
    });
    this.peersAsked += count;
    (await Promise.all(asked)).forEach((answer) => this.take(answer?.notice, 'peer'));
  }

  /** Whether the entry answers that it owns the journal and that the store serves it well. */
  async isHealthyOwner({ peerAddress }: GroupMember): Promise<boolean> {
    const answer = await this.deps.peers.ask(peerAddress, this.newest);
    this.take(answer?.notice, 'peer');
    return answer?.isHealthyOwner ?? false;
  }

  /** Takes up an announcement if it is newer than what is known. */
  take(notice: OwnerNotice | undefined, source: 'store' | 'peer' | 'self'): void {
    if (!notice || this.isDisposed) return;
    const knownEpoch = this.newest?.epoch ?? -1;
    const isRelease = notice.isReleased && this.newest?.isReleased !== true;
    const isNews = notice.epoch > knownEpoch || (isRelease && notice.epoch === knownEpoch);
    if (!isNews) return;
    this.newest = notice;
    this.deps.logger.info('owner-known', {
      owner: notice.owner.entryId,
      epoch: notice.epoch,
      isReleased: notice.isReleased,
      source,
    });
    this.noticeEmitter.fire(notice);
  }

  /** The list decides who succeeds, so one that could not be read is asked for again. */
  async refreshMembers(hasChanged: boolean): Promise<void> {
    if (hasChanged) this.listedMs = -Infinity;
    if (this.deps.clock.monotonicMs() - this.listedMs > MEMBERS_PERIOD_MS) {
      await this.listMembers();
    }
  }

  /** Reads who lives; false if the store can't tell. */
  async listMembers(): Promise<boolean> {
    const members = await this.deps.group.members();
    if (members.isErr()) return false;
    this.members = members.value;
    this.listedMs = this.deps.clock.monotonicMs();
    members.value.forEach(({ entryId, bootMs }) => {
      const newest = this.newestBootMs.get(entryId) ?? 0;
      this.newestBootMs.set(entryId, Math.max(newest, bootMs));
    });
    return true;
  }
}
