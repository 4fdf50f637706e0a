/**
 * The task that keeps this entry in the group, claims the journal when its owner is gone and this
 * entry is the successor, and tells the others. An owner that lives keeps the journal, however
 * the group is dealt anew.
 */
import { Disposable, EventEmitter } from '@acaciadock/core';
import { type Incumbent, incumbentOf, Ownership } from '@acaciadock/coordinator';
import {
  CLAIM_KEY,
  type GroupMember,
  type GroupView,
  isSameMember,
  JournalClaim,
  type OwnedJournal,
  type OwnerNotice,
  type PeerAnswer,
  type RecordLog,
} from '@acaciadock/journal';
import { OwnerDirectory, type OwnerDirectoryDeps } from './OwnerDirectory.js';

/**
 * Between two renewals of the membership, in milliseconds: a few fit into the time to live, and
 * the store counts a renewal as a tenth of a call.
 */
const RENEW_PERIOD_MS = 300;

/** Renewals under way at once; with a store that answers after a second there are three. */
const MOST_RENEWALS = 6;

/** Between two claims of this process, in milliseconds, so that two claimants don't spin. */
const CLAIM_PAUSE_MS = 300;

/**
 * After another entry's claim came in between, in milliseconds: it must be able to load the journal
 * over the thinnest link before anyone claims again.
 */
const SUPERSEDED_PAUSE_MS = 3_000;

/** The successor looks at the owner's membership this often without a change, in milliseconds. */
const OWNER_CHECK_MS = 1_500;

/** An owner without work proves its ownership to itself this often, in milliseconds. */
const IDLE_PROOF_MS = 500;

/** After an outage of the store the others get this long to rejoin before anyone claims. */
const REJOIN_GRACE_MS = 700;

/** An owner hands over to a member with this many times its processor, after this many ms. */
const MUCH_STRONGER = 1.5;
const HANDOVER_AFTER_MS = 1_500;

/** Nobody claims sooner after its start, in milliseconds, unless there has been an owner before. */
const FIRST_CLAIM_AFTER_MS = 900;

/** Between two tries to reach the former owner, in milliseconds. */
const ASK_FORMER_PAUSE_MS = 200;

/** Between two tries to announce the ownership, in milliseconds. */
const ANNOUNCE_RETRY_MS = 150;

/** A planned stop waits this long for what is being journaled, in milliseconds. */
const FLUSH_WAIT_MS = 400;

export interface OwnedPeriod {
  readonly ownership: Ownership;
  readonly owned: OwnedJournal;
  /** No earlier owner extends leases any more. */
  readonly isFormerOwnerOver: boolean;
}

export interface ElectionDeps extends OwnerDirectoryDeps {
  readonly log: RecordLog;
}

export class Election extends Disposable {
  private readonly ownedEmitter = this.register(new EventEmitter<OwnedPeriod>());

  /** Fires when this entry has claimed the journal. */
  readonly onOwned = this.ownedEmitter.event;

  private ownership: Ownership | undefined;

  private view: GroupView = { generation: -1 };

  private isClaiming = false;

  /** Renewals that the store has not answered yet. */
  private renewing = 0;

  private isLooking = false;

  private lastClaimMs = -Infinity;

  /** What this entry has announced of a claim whose journal is being loaded. */
  private claimedNotice: OwnerNotice | undefined;

  private supersededMs = -Infinity;

  private lastCheckMs = -Infinity;

  private lastCorrectionMs = -Infinity;

  private storeLost = false;

  private storeBackMs = -Infinity;

  private claims = 0;

  private readonly directory: OwnerDirectory;

  constructor(
    private readonly self: GroupMember,
    private readonly deps: ElectionDeps,
  ) {
    super();
    this.directory = this.register(new OwnerDirectory(self, deps));
    this.register(this.directory.onNotice((notice) => this.onNotice(notice)));
  }

  /** The owner of the journal, as far as is known. */
  get owner(): GroupMember | undefined {
    return this.isOwner ? this.self : this.directory.notice?.owner;
  }

  get isOwner(): boolean {
    return this.ownership?.isActive ?? false;
  }

  /** Whether that process of an entry is over, because a later one of the entry is a member. */
  isProcessOver(entryId: string, bootMs: number): boolean {
    return this.directory.isProcessOver(entryId, bootMs);
  }

  async run(): Promise<void> {
    while (!this.isDisposed) {
      // A slow store must not make memberships lapse, so the next renewal does not wait for this one.
      if (this.renewing < MOST_RENEWALS) void this.renew();
      await this.deps.clock.sleep(RENEW_PERIOD_MS);
    }
  }

  /** Gives up the journal and leaves the group, so that the successor claims at once. */
  async leave(): Promise<void> {
    this.dispose();
    await this.release('shutdown');
    await this.deps.group.leave(this.self);
  }

  /** Asks who the owner is, unless that was done a moment ago. */
  refreshOwner(): Promise<void> {
    return this.directory.refresh(this.storeLost);
  }

  /** Answers a peer that asks who the owner is, and takes up what the peer knows. */
  exchangeNotice(told: OwnerNotice | undefined): PeerAnswer {
    this.directory.take(told, 'peer');
    const { ownership } = this;
    if (ownership?.isActive) {
      const isHealthyOwner = ownership.isStorePrompt && !this.storeLost;
      return { notice: this.noticeOf(ownership, false), isHealthyOwner };
    }
    const isLoading = this.isClaiming && this.claimedNotice !== undefined;
    const notice = isLoading ? this.claimedNotice : this.directory.notice;
    return { notice, isHealthyOwner: false };
  }

  private onNotice({ epoch }: OwnerNotice): void {
    if (this.ownership && epoch > this.ownership.epoch) this.ownership.end('superseded');
  }

  private get isSuccessor(): boolean {
    const successor = this.directory.successorOf(this.directory.notice?.owner);
    return successor !== undefined && isSameMember(successor, this.self);
  }

  private async renew(): Promise<void> {
    this.renewing += 1;
    const view = await this.deps.group.join(this.self);
    this.renewing -= 1;
    if (this.isDisposed) return;
    this.noteStore(view.isOk(), view.isErr() ? view.error.kind : '');
    if (view.isErr()) {
      // The store may serve the others, and they may have a new owner.
      if (this.isOwner) void this.directory.askPeers();
      return;
    }
    if (this.isLooking) return;
    this.isLooking = true;
    await this.look(view.value);
    this.isLooking = false;
  }

  /** Does what the membership asks for. Answers may overtake each other: an older one is no news. */
  private async look(view: GroupView): Promise<void> {
    const changed = view.generation > this.view.generation;
    if (changed) {
      this.view = view;
      this.deps.logger.info('group-changed', { ...view });
    }
    await this.directory.refreshMembers(changed);
    if (!this.isOwner) {
      await this.correctAnnouncement();
      await this.watchOwner(changed);
      return;
    }
    if (this.hasMuchStrongerPeer) {
      await this.handOver();
      return;
    }
    this.proveOwnership();
    await this.confirmAnnouncement();
  }

  /** Ends the ownership, if any, once what is being journaled is durable. */
  private async release(reason: 'shutdown' | 'handover'): Promise<void> {
    const { ownership } = this;
    if (!ownership?.isActive) return;
    const flushed = ownership.writer.write(CLAIM_KEY, () => this.claimValue());
    await Promise.race([flushed, this.deps.clock.sleep(FLUSH_WAIT_MS)]);
    ownership.end(reason);
    const released = this.noticeOf(ownership, true);
    this.directory.take(released, 'self');
    await this.deps.group.announce(released);
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
    else this.directory.take(stored.value, 'store');
  }

  /**
   * The others wait for an owner that lives. While they take this entry for it, and it is not, they
   * must hear of its release or of the later owner that it knows of.
   */
  private async correctAnnouncement(): Promise<void> {
    const nowMs = this.deps.clock.monotonicMs();
    const hasEverClaimed = this.claims > 0;
    if (!hasEverClaimed || this.isClaiming) return;
    if (nowMs - this.lastCorrectionMs < OWNER_CHECK_MS) return;
    this.lastCorrectionMs = nowMs;
    const stored = await this.deps.group.announced();
    if (stored.isErr() || !stored.value || this.isClaiming) return;
    this.directory.take(stored.value, 'store');
    const isTakenForOwner = isSameMember(stored.value.owner, this.self);
    if (!isTakenForOwner || stored.value.isReleased) return;
    const { notice } = this.directory;
    const isLater = notice !== undefined && notice.epoch > stored.value.epoch;
    const isReleased = notice?.epoch === stored.value.epoch && notice.isReleased;
    if (isLater || isReleased) await this.deps.group.announce(notice);
  }

  /** Whether a member could do the work of all pools much better. */
  private get hasMuchStrongerPeer(): boolean {
    const ownedMs = this.deps.clock.monotonicMs() - this.lastClaimMs;
    if (ownedMs < HANDOVER_AFTER_MS) return false;
    const successor = this.directory.successorOf(this.self);
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
    const { notice } = this.directory;
    const isDue = changed || notice === undefined || nowMs - this.lastCheckMs > OWNER_CHECK_MS;
    const isOwnNotice = notice?.isReleased === false && isSameMember(notice.owner, this.self);
    if (!this.isSuccessor && !isOwnNotice) {
      if (changed || notice === undefined) void this.refreshOwner();
      return;
    }
    if (!isDue && !isOwnNotice) return;
    if (nowMs - this.storeBackMs < REJOIN_GRACE_MS) return;
    this.lastCheckMs = nowMs;
    if (await this.isOwnerGone()) void this.claim();
  }

  private async isOwnerGone(): Promise<boolean> {
    const { directory } = this;
    if (!(await directory.readNotice())) return false;
    const { notice } = directory;
    // Before the first owner the others get a moment to join, so that the strongest is known.
    if (!notice) return this.deps.clock.unixMs() - this.self.bootMs > FIRST_CLAIM_AFTER_MS;
    if (notice.isReleased || isSameMember(notice.owner, this.self)) return true;
    if (!(await directory.listMembers())) return false;
    // A later process of the entry proves the end of the owner's sooner than its membership lapses.
    if (directory.isProcessOver(notice.owner.entryId, notice.owner.bootMs)) return true;
    if (directory.isMember(notice.owner)) return false;
    // Memberships lapse by mistake, too. An owner that works is not replaced for that.
    return !(await directory.isHealthyOwner(notice.owner));
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
    this.directory.take(this.claimedNotice, 'self');
    this.deps.logger.info('claim-unused', { isStoreLost: this.storeLost });
  }

  private own(owned: OwnedJournal): void {
    const { clock, log, logger } = this.deps;
    const former = incumbentOf(owned);
    const isFormerOwnerOver = this.hasStopped(former);
    const holder = { ...this.self, formerMayExtend: !isFormerOwnerOver };
    const ownership = new Ownership(log, owned, holder, clock);
    this.ownership = ownership;
    // If this period ends unseen, the others still take this entry for the owner.
    this.directory.take(this.noticeOf(ownership, false), 'self');
    ownership.onEnd((reason) => {
      logger.info('ownership-ended', { epoch: owned.epoch, reason });
    });
    this.ownedEmitter.fire({ ownership, owned, isFormerOwnerOver });
    void this.announce(ownership);
    if (former && !isFormerOwnerOver) void this.askFormerToStop(former, ownership);
  }

  /**
   * Tells the former owner of this period. Its answer proves that it has stepped down, or that its
   * process is over, so its bound on extending leases need not be waited out.
   */
  private async askFormerToStop(former: Incumbent, ownership: Ownership): Promise<void> {
    const { peers, clock, logger } = this.deps;
    // Before it, another owner may be extending: only time tells when that has ended.
    if (former.formerMayExtend) return;
    while (ownership.isActive && ownership.formerMayExtend) {
      const answer = await peers.ask(former.peerAddress, this.noticeOf(ownership, false));
      if ((answer?.notice?.epoch ?? -1) >= ownership.epoch) {
        logger.info('former-owner-stopped', { owner: former.entryId, epoch: former.epoch });
        ownership.noteFormerStopped();
        return;
      }
      await clock.sleep(ASK_FORMER_PAUSE_MS);
    }
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
   * Whether neither the owner before this claim nor one before it extends leases any more: its
   * process is over, or it has announced the release of that very period. An owner that never got
   * to announce itself counts by what it wrote into the journal.
   */
  private hasStopped(former: Incumbent | undefined): boolean {
    if (!former) return true;
    if (former.formerMayExtend) return false;
    if (this.directory.isProcessOver(former.entryId, former.bootMs)) return true;
    const isOwn = former.entryId === this.self.entryId && former.bootMs === this.self.bootMs;
    const { notice } = this.directory;
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
