/**
 * The task that keeps this entry in the group, claims the journal when its owner is gone and this
 * entry is the successor, and tells the others. An owner that lives keeps the journal, however
 * the group is dealt anew.
 */
import { type Clock, Disposable, EventEmitter, type Logger } from '@acaciadock/core';
import { type Incumbent, incumbentOf, Ownership } from '@acaciadock/coordinator';
import {
  CLAIM_KEY,
  type GroupMember,
  type GroupView,
  isSameMember,
  JournalClaim,
  type OwnedJournal,
  type OwnerNotice,
  type OwnershipGroup,
  type PeerNotices,
  type RecordLog,
} from '@acaciadock/journal';
import { Succession } from './Succession.js';

/**
 * Between two renewals of the membership, in milliseconds: a few fit into the time to live, and
 * the store counts a renewal as a tenth of a call.
 */
const RENEW_PERIOD_MS = 300;

/** Between two claims of this process, in milliseconds, so that two claimants don't spin. */
const CLAIM_PAUSE_MS = 300;

/**
 * After another entry's claim came in between, in milliseconds: it must be able to load the journal
 * over the thinnest link before anyone claims again.
 */
const SUPERSEDED_PAUSE_MS = 3_000;

/** Between two questions for the owner while it is not known or does not answer. */
const OWNER_REFRESH_MS = 200;

/** The successor looks at the owner's membership this often without a change, in milliseconds. */
const OWNER_CHECK_MS = 1_500;

/** The members are listed again after this time without a change, in milliseconds. */
const MEMBERS_PERIOD_MS = 3_000;

/** An owner without work proves its ownership to itself this often, in milliseconds. */
const IDLE_PROOF_MS = 1_000;

/** After an outage of the store the others get this long to rejoin before anyone claims. */
const REJOIN_GRACE_MS = 700;

/** An owner hands over to a member with this many times its processor, after this many ms. */
const MUCH_STRONGER = 1.5;
const HANDOVER_AFTER_MS = 1_500;

/** Nobody claims sooner after its start, in milliseconds, unless there has been an owner before. */
const FIRST_CLAIM_AFTER_MS = 900;

/** Peers asked at once who the owner is while the store can't tell. */
const PEERS_ASKED = 3;

/** Between two tries to announce the ownership, in milliseconds. */
const ANNOUNCE_RETRY_MS = 150;

/** A planned stop waits this long for what is being journaled, in milliseconds. */
const FLUSH_WAIT_MS = 400;

export interface OwnedPeriod {
  readonly ownership: Ownership;
  readonly owned: OwnedJournal;
  /** The earlier owner extends no leases any more. */
  readonly isFormerOwnerOver: boolean;
}

export interface ElectionDeps {
  readonly group: OwnershipGroup;
  /** The way to the other entries that does not lead over the store. */
  readonly peers: PeerNotices;
  readonly log: RecordLog;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class Election extends Disposable {
  private readonly ownedEmitter = this.register(new EventEmitter<OwnedPeriod>());

  /** Fires when this entry has claimed the journal. */
  readonly onOwned = this.ownedEmitter.event;

  private ownership: Ownership | undefined;

  private view: GroupView = { generation: -1 };

  private isClaiming = false;

  private notice: OwnerNotice | undefined;

  private lastClaimMs = -Infinity;

  /** What this entry has announced of a claim whose journal is being loaded. */
  private claimedNotice: OwnerNotice | undefined;

  private supersededMs = -Infinity;

  private lastNoticeMs = -Infinity;

  private lastCheckMs = -Infinity;

  /** The newest start of each entry's process that was seen in the group. */
  private readonly newestBootMs = new Map<string, number>();

  /** All entries, as last listed. */
  private members: readonly GroupMember[] = [];

  /** When they were listed, monotonic. */
  private membersMs = -Infinity;

  private peersAsked = 0;

  private storeLost = false;

  private storeBackMs = -Infinity;

  private claims = 0;

  constructor(
    private readonly self: GroupMember,
    private readonly deps: ElectionDeps,
  ) {
    super();
  }

  /** The owner of the journal, as far as is known. */
  get owner(): GroupMember | undefined {
    return this.isOwner ? this.self : this.notice?.owner;
  }

  get isOwner(): boolean {
    return this.ownership?.isActive ?? false;
  }

  /** Whether that process of an entry is over, because a later one of the entry is a member. */
  isProcessOver(entryId: string, bootMs: number): boolean {
    return (this.newestBootMs.get(entryId) ?? 0) > bootMs;
  }

  async run(): Promise<void> {
    while (!this.isDisposed) {
      await this.renew();
      await this.deps.clock.sleep(RENEW_PERIOD_MS);
    }
  }

  /** Gives up the journal and leaves the group, so that the successor claims at once. */
  async leave(): Promise<void> {
    this.dispose();
    await this.release('shutdown');
    await this.deps.group.leave(this.self);
  }

  /** Asks the store who the owner is, unless that was done a moment ago. */
  async refreshOwner(): Promise<void> {
    const nowMs = this.deps.clock.monotonicMs();
    if (nowMs - this.lastNoticeMs < OWNER_REFRESH_MS) return;
    this.lastNoticeMs = nowMs;
    // A silent store is noticed only after seconds; once lost, the peers are asked beside it.
    if (this.storeLost) void this.askPeers();
    await this.readNotice();
  }

  /** What this entry knows of the owner, for peers that can't reach the store. */
  get knownNotice(): OwnerNotice | undefined {
    if (this.isClaiming && this.claimedNotice) return this.claimedNotice;
    return this.ownership?.isActive ? this.noticeOf(this.ownership, false) : this.notice;
  }

  /** Reads the announcement in the store; false if the store can't tell. */
  private async readNotice(): Promise<boolean> {
    const notice = await this.deps.group.announced();
    if (notice.isErr()) {
      void this.askPeers();
      return false;
    }
    this.take(notice.value, 'store');
    return true;
  }

  /** An entry may be cut off from the store while the others have a new owner. */
  private async askPeers(): Promise<void> {
    const peers = this.members.filter(({ entryId }) => entryId !== this.self.entryId);
    const count = Math.min(PEERS_ASKED, peers.length);
    const asked = Array.from({ length: count }, (_, index) => {
      const peer = peers[(this.peersAsked + index) % peers.length];
      return peer ? this.deps.peers.ask(peer.peerAddress) : undefined;
    });
    this.peersAsked += count;
    (await Promise.all(asked)).forEach((notice) => this.take(notice, 'peer'));
  }

  private take(notice: OwnerNotice | undefined, source: 'store' | 'peer' | 'claim'): void {
    if (!notice || this.isDisposed) return;
    const formerEpoch = this.notice?.epoch ?? -1;
    const isRelease = notice.isReleased && this.notice?.isReleased !== true;
    const isNews = notice.epoch > formerEpoch || (isRelease && notice.epoch === formerEpoch);
    if (!isNews) return;
    this.notice = notice;
    if (this.ownership && notice.epoch > this.ownership.epoch) this.ownership.end('superseded');
    this.deps.logger.info('owner-known', {
      owner: notice.owner.entryId,
      epoch: notice.epoch,
      isReleased: notice.isReleased,
      source,
    });
  }

  /** The list decides who succeeds, so one that could not be read is asked for again. */
  private async refreshMembers(): Promise<void> {
    if (this.deps.clock.monotonicMs() - this.membersMs > MEMBERS_PERIOD_MS) {
      await this.listMembers();
    }
  }

  /** Reads who lives; false if the store can't tell. */
  private async listMembers(): Promise<boolean> {
    const members = await this.deps.group.members();
    if (members.isErr()) return false;
    this.members = members.value;
    this.membersMs = this.deps.clock.monotonicMs();
    members.value.forEach(({ entryId, bootMs }) => {
      const newest = this.newestBootMs.get(entryId) ?? 0;
      this.newestBootMs.set(entryId, Math.max(newest, bootMs));
    });
    return true;
  }

  private get isSuccessor(): boolean {
    const successor = Succession.successor(this.members, this.notice?.owner);
    return successor !== undefined && isSameMember(successor, this.self);
  }

  private async renew(): Promise<void> {
    const view = await this.deps.group.join(this.self);
    if (this.isDisposed) return;
    this.noteStore(view.isOk(), view.isErr() ? view.error.kind : '');
    if (view.isErr()) {
      // The store may serve the others, and they may have a new owner.
      if (this.isOwner) void this.askPeers();
      return;
    }
    const changed = view.value.generation !== this.view.generation;
    this.view = view.value;
    if (changed) {
      this.deps.logger.info('group-changed', { ...this.view });
      this.membersMs = -Infinity;
    }
    await this.refreshMembers();
    if (!this.isOwner) await this.watchOwner(changed);
    else if (this.hasMuchStrongerPeer) await this.handOver();
    else {
      this.proveOwnership();
      await this.confirmAnnouncement();
    }
  }

  /** Ends the ownership, if any, once what is being journaled is durable. */
  private async release(reason: 'shutdown' | 'handover'): Promise<void> {
    const { ownership } = this;
    if (!ownership?.isActive) return;
    const flushed = ownership.writer.write(CLAIM_KEY, () => this.claimValue());
    await Promise.race([flushed, this.deps.clock.sleep(FLUSH_WAIT_MS)]);
    ownership.end(reason);
    this.notice = this.noticeOf(ownership, true);
    await this.deps.group.announce(this.notice);
  }

  /** A late announcement of an earlier claim may have covered this owner's. */
  private async confirmAnnouncement(): Promise<void> {
    const nowMs = this.deps.clock.monotonicMs();
    if (nowMs - this.lastCheckMs < OWNER_CHECK_MS) return;
    this.lastCheckMs = nowMs;
    const stored = await this.deps.group.announced();
    const { ownership } = this;
    if (stored.isErr() || !ownership?.isActive) return;
    if ((stored.value?.epoch ?? -1) < ownership.epoch) await this.announce(ownership);
    else this.take(stored.value, 'store');
  }

  /** Whether a member could do the work of all pools much better. */
  private get hasMuchStrongerPeer(): boolean {
    const ownedMs = this.deps.clock.monotonicMs() - this.lastClaimMs;
    if (ownedMs < HANDOVER_AFTER_MS) return false;
    const successor = Succession.successor(this.members, this.self);
    return (successor?.cpuMilli ?? 0) >= this.self.cpuMilli * MUCH_STRONGER;
  }

  /** Leaving and joining again tells everybody that there is something to take over. */
  private async handOver(): Promise<void> {
    this.deps.logger.info('handover', { cpuMilli: this.self.cpuMilli });
    await this.release('handover');
    await this.deps.group.leave(this.self);
  }

  /** An acknowledged append is the only proof that nobody else has claimed. */
  private proveOwnership(): void {
    const { ownership } = this;
    if (!ownership) return;
    const idleMs = this.deps.clock.monotonicMs() - ownership.writer.lastDurableMs;
    if (idleMs > IDLE_PROOF_MS) void ownership.writer.write(CLAIM_KEY, () => this.claimValue());
  }

  private async watchOwner(changed: boolean): Promise<void> {
    const nowMs = this.deps.clock.monotonicMs();
    const isDue = changed || this.notice === undefined || nowMs - this.lastCheckMs > OWNER_CHECK_MS;
    const isOwnNotice =
      this.notice?.isReleased === false && isSameMember(this.notice.owner, this.self);
    if (!this.isSuccessor && !isOwnNotice) {
      if (changed || this.notice === undefined) void this.refreshOwner();
      return;
    }
    if (!isDue && !isOwnNotice) return;
    if (nowMs - this.storeBackMs < REJOIN_GRACE_MS) return;
    this.lastCheckMs = nowMs;
    if (await this.isOwnerGone()) void this.claim();
  }

  private async isOwnerGone(): Promise<boolean> {
    if (!(await this.readNotice())) return false;
    const { notice } = this;
    // Before the first owner the others get a moment to join, so that the strongest is known.
    if (!notice) return this.deps.clock.unixMs() - this.self.bootMs > FIRST_CLAIM_AFTER_MS;
    if (notice.isReleased || isSameMember(notice.owner, this.self)) return true;
    this.newestBootMs.set(this.self.entryId, this.self.bootMs);
    if (!(await this.listMembers())) return false;
    // A later process of the entry proves the end of the owner's sooner than its membership lapses.
    if (this.isProcessOver(notice.owner.entryId, notice.owner.bootMs)) return true;
    return !this.members.some((member) => isSameMember(member, notice.owner));
  }

  private async claim(): Promise<void> {
    const { clock, log, logger } = this.deps;
    if (this.isClaiming || this.isOwner) return;
    if (clock.monotonicMs() - this.lastClaimMs < CLAIM_PAUSE_MS) return;
    if (clock.monotonicMs() - this.supersededMs < SUPERSEDED_PAUSE_MS) return;
    this.isClaiming = true;
    this.claimedNotice = undefined;
    this.lastClaimMs = clock.monotonicMs();
    this.claims += 1;
    const { entryId, bootMs } = this.self;
    const owned = await new JournalClaim(log, clock).take(
      { entryId, bootMs, nonce: `${bootMs}-${this.claims}` },
      () => !this.isDisposed && !this.storeLost,
      (epoch) => this.onClaimed(epoch),
    );
    this.isClaiming = false;
    if (this.isDisposed) return;
    if (!owned) {
      this.onClaimUnused();
      return;
    }
    logger.info('ownership-claimed', {
      epoch: owned.epoch,
      records: owned.records.length,
      tookMs: Math.round(clock.monotonicMs() - this.lastClaimMs),
    });
    this.own(owned);
  }

  /** The others are told before the journal is loaded, so that nobody else claims meanwhile. */
  private onClaimed(epoch: number): void {
    const notice = { owner: this.self, epoch, isReleased: false };
    this.claimedNotice = notice;
    void this.deps.group.announce(notice);
  }

  /**
   * The claim stands, and was announced, but its journal was not loaded: another claim came in
   * between, or the store went away. The others wait for this entry, so it has to try again unless
   * a later owner announces itself.
   */
  private onClaimUnused(): void {
    if (!this.storeLost) this.supersededMs = this.deps.clock.monotonicMs();
    this.take(this.claimedNotice, 'claim');
    this.deps.logger.info('claim-unused', { isStoreLost: this.storeLost });
  }

  private own(owned: OwnedJournal): void {
    const { clock, log, logger } = this.deps;
    const isFormerOwnerOver = this.isOver(incumbentOf(owned));
    const { entryId, bootMs } = this.self;
    const ownership = new Ownership(log, owned, { entryId, bootMs }, clock);
    this.ownership = ownership;
    ownership.onEnd((reason) => {
      logger.info('ownership-ended', { epoch: owned.epoch, reason });
    });
    this.ownedEmitter.fire({ ownership, owned, isFormerOwnerOver });
    void this.announce(ownership);
  }

  private async announce(ownership: Ownership): Promise<void> {
    const notice = this.noticeOf(ownership, false);
    while (ownership.isActive) {
      const done = await this.deps.group.announce(notice);
      if (done.isOk()) return;
      this.deps.logger.warn('owner-unannounced', { reason: done.error.kind });
      await this.deps.clock.sleep(ANNOUNCE_RETRY_MS);
    }
  }

  /**
   * Whether the owner before this claim has stopped for certain: its process is over, or it has
   * announced the release of that very period. An owner that never got to announce itself counts
   * by what it wrote into the journal.
   */
  private isOver(former: Incumbent | undefined): boolean {
    if (!former || this.isProcessOver(former.entryId, former.bootMs)) return true;
    const isOwn = former.entryId === this.self.entryId && former.bootMs === this.self.bootMs;
    const { notice } = this;
    return isOwn || (notice?.isReleased === true && notice.epoch === former.epoch);
  }

  private noticeOf({ epoch }: Ownership, isReleased: boolean): OwnerNotice {
    return { owner: this.self, epoch, isReleased };
  }

  private claimValue(): Buffer {
    const { entryId, bootMs } = this.self;
    return Buffer.from(JSON.stringify({ entryId, bootMs, nonce: `${bootMs}-${this.claims}` }));
  }

  private noteStore(isBack: boolean, reason: string): void {
    if (this.storeLost === !isBack) return;
    this.storeLost = !isBack;
    if (isBack) this.storeBackMs = this.deps.clock.monotonicMs();
    this.deps.logger.warn(isBack ? 'store-back' : 'store-lost', { reason });
  }
}
