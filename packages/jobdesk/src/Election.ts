/**
 * Elects the owner of the journal, which runs the coordinator. Maintains this entry's membership in
 * the group, claims the journal when its owner is gone and this entry is the successor, and
 * announces the ownership. An owner that is alive keeps the journal when the membership changes. An
 * announcement is an `OwnerNotice`: the store holds the last one, and entries exchange them.
 */
import { Disposable, EventEmitter } from '@acaciadock/core';
import { type InheritedLeases, LEASE_MS, Ownership } from '@acaciadock/coordinator';
import {
  CLAIM_KEY,
  type GroupMember,
  type GroupView,
  isSameMember,
  type OwnedJournal,
  type OwnerNotice,
  type PeerAnswer,
  type Preparation,
} from '@acaciadock/journal';
import { Claimant, type ClaimantDeps } from './Claimant.js';
import { OwnerAnnouncer } from './OwnerAnnouncer.js';
import { OwnerCheck } from './OwnerCheck.js';
import { OwnerDirectory } from './OwnerDirectory.js';
import { OwnerWatch } from './OwnerWatch.js';
import { OwnershipRelease } from './OwnershipRelease.js';
import { PreviousOwner } from './PreviousOwner.js';
import { Succession } from './Succession.js';
import { SuccessionPreparation, type SuccessionPreparationDeps } from './SuccessionPreparation.js';

/**
 * Interval between renewals of the membership, in milliseconds. Several renewals fit into the
 * membership's time to live, and the store counts a renewal as a tenth of a call.
 */
const RENEW_PERIOD_MS = 300;

/** Maximum number of concurrent renewals; a store that answers after a second causes three. */
const MAX_CONCURRENT_RENEWALS = 6;

/** Interval of the checks of the owner while the membership doesn't change, in milliseconds. */
const OWNER_CHECK_PERIOD_MS = 1_500;

/** An idle owner verifies its ownership by an append this often, in milliseconds. */
const IDLE_PROOF_PERIOD_MS = 500;

/** Time for the other entries to rejoin after a store outage before anyone claims, in ms. */
const REJOIN_GRACE_MS = 700;

/** Minimum time from the last claim to a handover to a much stronger member, in milliseconds. */
const HANDOVER_DELAY_MS = 1_500;

/** Share of the time until a process that stops refuses calls in which the successor may prepare. */
const PREPARATION_SHARE = 1 / 2;

/** The store serves an entry if it has answered a renewal within this time, in milliseconds. */
const MAX_ANSWER_AGE_MS = 2 * RENEW_PERIOD_MS;

export interface OwnedPeriod extends InheritedLeases {
  readonly ownership: Ownership;
  readonly owned: OwnedJournal;
}

export type ElectionDeps = ClaimantDeps & SuccessionPreparationDeps;

export class Election extends Disposable {
  private readonly ownedEmitter = this.register(new EventEmitter<OwnedPeriod>());

  /** Fires when this entry has claimed the journal. */
  readonly onOwned = this.ownedEmitter.event;

  private ownership: Ownership | undefined;

  private view: GroupView = { generation: -1 };

  /** Number of renewals that the store has not answered yet. */
  private pendingRenewals = 0;

  private isChecking = false;

  private lastOwnerCheckMs = -Infinity;

  private storeLost = false;

  private storeBackMs = -Infinity;

  private lastRenewedMs = -Infinity;

  private readonly directory: OwnerDirectory;

  private readonly announcer: OwnerAnnouncer;

  private readonly claimant: Claimant;

  private readonly ownershipRelease: OwnershipRelease;

  private readonly ownerWatch: OwnerWatch;

  private readonly ownerCheck: OwnerCheck;

  private readonly preparation: SuccessionPreparation;

  private isLeaving = false;

  constructor(
    private readonly self: GroupMember,
    private readonly deps: ElectionDeps,
  ) {
    super();
    this.directory = this.register(new OwnerDirectory(self, deps));
    this.register(this.directory.onNotice((notice) => this.onNotice(notice)));
    this.announcer = new OwnerAnnouncer(self, this.directory, deps);
    this.claimant = this.register(new Claimant(self, this.directory, this.announcer, deps));
    this.preparation = this.register(new SuccessionPreparation(deps));
    this.ownershipRelease = new OwnershipRelease(
      self,
      this.directory,
      this.announcer,
      deps,
      () => this.storeLost,
    );
    this.ownerWatch = this.register(new OwnerWatch(deps.peers, deps.logger));
    this.ownerCheck = new OwnerCheck(self, this.directory, this.ownerWatch, deps.clock);
    this.register(
      this.ownerWatch.onGone(() => {
        void this.renew();
      }),
    );
  }

  /** The owner of the journal as far as this entry knows. */
  get owner(): GroupMember | undefined {
    return this.isOwner ? this.self : this.directory.notice?.owner;
  }

  get isOwner(): boolean {
    return this.ownership?.isActive ?? false;
  }

  /** All members of the group as of their last listing. */
  get members(): readonly GroupMember[] {
    return this.directory.listedMembers;
  }

  /** Whether the entry's process that started at `bootMs` has ended: a later one is a member. */
  hasProcessExited(entryId: string, bootMs: number): boolean {
    return this.directory.hasProcessExited(entryId, bootMs);
  }

  async run(): Promise<void> {
    while (!this.isDisposed) {
      // Renewals do not wait for each other: a slow store must not let the membership expire.
      if (this.pendingRenewals < MAX_CONCURRENT_RENEWALS) void this.renew();
      await this.deps.clock.sleep(RENEW_PERIOD_MS);
    }
  }

  /**
   * Releases the journal and leaves the group, so that the successor can claim at once. It may prepare
   * for that during a part of `servingMs`, after which this process takes no more calls.
   */
  async leave(servingMs = Infinity): Promise<void> {
    this.isLeaving = true;
    const maxMs = servingMs * PREPARATION_SHARE;
    if (this.ownership?.isActive)
      await this.ownershipRelease.prepareSuccessor(this.ownership, maxMs);
    this.dispose();
    await this.release('shutdown');
    await this.deps.group.leave(this.self);
  }

  /** Looks up the current owner, unless it was looked up a moment ago. */
  refreshOwner(): Promise<void> {
    return this.directory.refresh(this.storeLost);
  }

  /** Answers a peer's query for the owner, and accepts the announcement that the peer sent. */
  exchangeNotice(received: OwnerNotice | undefined): PeerAnswer {
    // Only the owner asks for a preparation, so the request isn't passed on with the announcement.
    this.directory.accept(received && { ...received, isEnding: undefined }, 'peer');
    const { ownership, isServedByStore } = this;
    const preparation = received?.isEnding ? this.prepareFor(received) : undefined;
    const { entryId, bootMs } = this.self;
    const process = { entryId, bootMs };
    if (ownership?.isActive) {
      const isHealthyOwner = ownership.isStorePrompt && !this.storeLost;
      const notice = this.announcer.noticeOf(ownership.epoch, false);
      return { process, notice, isHealthyOwner, isLoading: false, isServedByStore };
    }
    const { loadingNotice } = this.claimant;
    return {
      process,
      notice: loadingNotice ?? this.directory.notice,
      isHealthyOwner: false,
      isLoading: loadingNotice !== undefined,
      isServedByStore,
      preparation,
    };
  }

  /** Prepares to succeed an owner that has announced its release, unless there is a later one. */
  private prepareFor({ epoch }: OwnerNotice): Preparation {
    const { notice } = this.directory;
    const isLatest = notice?.epoch === epoch && !notice.isReleased;
    return isLatest && !this.claimant.isClaiming ? this.preparation.request(epoch) : 'failed';
  }

  private onNotice({ epoch, isReleased }: OwnerNotice): void {
    if (this.ownership && epoch > this.ownership.epoch) this.ownership.end('superseded');
    this.claimant.handleNotice(epoch);
    // The successor claims at once: its next renewal may be 0.3 s away, or take that long.
    if (isReleased && this.isSuccessor && !this.storeLost) void this.claim();
  }

  private get isServedByStore(): boolean {
    const answerAgeMs = this.deps.clock.monotonicMs() - this.lastRenewedMs;
    return !this.storeLost && answerAgeMs < MAX_ANSWER_AGE_MS;
  }

  private get isSuccessor(): boolean {
    const successor = this.directory.successorOf(this.directory.notice?.owner);
    return successor !== undefined && isSameMember(successor, this.self);
  }

  private async renew(): Promise<void> {
    this.pendingRenewals += 1;
    const view = await this.deps.group.join(this.self);
    this.pendingRenewals -= 1;
    if (this.isDisposed) return;
    this.updateStoreState(view.isOk(), view.isErr() ? view.error.kind : '');
    if (view.isErr()) {
      // The store may still serve the other entries, and they may have elected a new owner.
      if (this.isOwner) void this.directory.queryPeers();
      if (this.ownership) void this.ownershipRelease.toServedSuccessor(this.ownership);
      return;
    }
    this.lastRenewedMs = this.deps.clock.monotonicMs();
    if (this.isChecking) return;
    this.isChecking = true;
    await this.processView(view.value);
    this.isChecking = false;
  }

  /** Acts on a view of the group. Views may arrive out of order: an older one is not a change. */
  private async processView(view: GroupView): Promise<void> {
    const changed = view.generation > this.view.generation;
    if (changed) {
      this.view = view;
      this.deps.logger.info('group-changed', { ...view });
    }
    await this.directory.refreshMembers(changed);
    if (!this.isOwner) {
      if (this.claimant.hasClaimed) await this.announcer.correct(() => this.claimant.isClaiming);
      this.ownerWatch.set(this.isSuccessor ? this.directory.notice : undefined);
      await this.watchOwner(changed);
      return;
    }
    if (this.hasMuchStrongerPeer) {
      await this.handOver();
      return;
    }
    this.proveOwnership();
    await this.announcer.confirm(this.ownership);
  }

  /** Ends the ownership, if any, once pending writes are durable. */
  private async release(reason: 'shutdown' | 'handover'): Promise<void> {
    const { ownership } = this;
    if (!ownership?.isActive) return;
    await this.ownershipRelease.afterFlush(ownership, reason, () => this.claimant.encodeClaim());
  }

  /** Whether the successor has so much more CPU capacity that a handover is worthwhile. */
  private get hasMuchStrongerPeer(): boolean {
    const ownedMs = this.deps.clock.monotonicMs() - this.claimant.lastClaimMs;
    if (ownedMs < HANDOVER_DELAY_MS) return false;
    const successor = this.directory.successorOf(this.self);
    return successor !== undefined && Succession.isMuchStronger(successor, this.self);
  }

  /**
   * Releases the journal and leaves the group; the next renewal joins it again. Both change the
   * membership, which makes the other entries check the owner.
   */
  private async handOver(): Promise<void> {
    this.deps.logger.info('handover', { cpuMilli: this.self.cpuMilli });
    if (this.ownership) await this.ownershipRelease.prepareSuccessor(this.ownership);
    await this.release('handover');
    await this.deps.group.leave(this.self);
  }

  /**
   * Appends when idle: only an acknowledged append proves that no other entry has claimed. The
   * claim record is written again because its content doesn't matter and it adds no new key.
   */
  private proveOwnership(): void {
    const { ownership } = this;
    if (!ownership) return;
    const idleMs = this.deps.clock.monotonicMs() - ownership.writer.lastDurableMs;
    if (idleMs > IDLE_PROOF_PERIOD_MS)
      void ownership.writer.write(CLAIM_KEY, () => this.claimant.encodeClaim());
  }

  private async watchOwner(changed: boolean): Promise<void> {
    const nowMs = this.deps.clock.monotonicMs();
    const { notice } = this.directory;
    const isDue =
      changed ||
      notice === undefined ||
      notice.isReleased ||
      this.ownerWatch.isGone(notice.owner) ||
      this.ownerCheck.mayBeLoading(notice) ||
      nowMs - this.lastOwnerCheckMs > OWNER_CHECK_PERIOD_MS;
    // A claim of this entry failed after its announcement, or its ownership ended without a
    // release. The other entries then wait for this one, so it claims again.
    const isOwnNotice = notice?.isReleased === false && isSameMember(notice.owner, this.self);
    if (!this.isSuccessor && !isOwnNotice) {
      if (changed || notice === undefined) void this.refreshOwner();
      return;
    }
    if (!isDue && !isOwnNotice) return;
    if (nowMs - this.storeBackMs < REJOIN_GRACE_MS) return;
    this.lastOwnerCheckMs = nowMs;
    if (await this.ownerCheck.mayClaim()) void this.claim();
  }

  private async claim(): Promise<void> {
    if (this.isOwner || this.isLeaving) return;
    const owned = await this.claimant.claim(
      () => !this.isDisposed && !this.storeLost,
      () => this.preparation.take(),
    );
    if (owned) this.startOwnership(owned);
  }

  private startOwnership(owned: OwnedJournal): void {
    const { self, directory, announcer, deps } = this;
    const { clock, log, logger } = deps;
    const previousOwner = new PreviousOwner(owned, self, directory, announcer, deps);
    const { hasStoppedExtending: hasPreviousOwnerStopped, extending: formers } = previousOwner;
    const inheritedLeaseMs = previousOwner.leaseBoundMs;
    const leaseBoundMs =
      inheritedLeaseMs === undefined ? undefined : Math.max(inheritedLeaseMs, LEASE_MS);
    const formerMayExtend = !hasPreviousOwnerStopped;
    const ownerRecord = { ...self, formerMayExtend, formers, leaseBoundMs };
    const ownership = new Ownership(log, owned, ownerRecord, clock);
    this.ownership = ownership;
    this.ownerWatch.set(undefined);
    // Kept so that this entry can correct the announcement if nobody learns of the ownership's end.
    directory.accept(announcer.noticeOf(ownership.epoch, false), 'self');
    ownership.writer.onStalled((failure) => logger.warn('append-stalled', { ...failure }));
    ownership.writer.onResumed((stall) => logger.info('append-resumed', { ...stall }));
    ownership.writer.onSetAside((notice) => logger.error('record-set-aside', { ...notice }));
    ownership.onEnd((reason) => {
      logger.info('ownership-ended', { epoch: owned.epoch, reason });
    });
    this.ownedEmitter.fire({ ownership, owned, hasPreviousOwnerStopped, inheritedLeaseMs });
    void announcer.announce(ownership);
    if (!hasPreviousOwnerStopped) void previousOwner.notify(ownership);
  }

  private updateStoreState(isBack: boolean, reason: string): void {
    if (this.storeLost === !isBack) return;
    this.storeLost = !isBack;
    if (isBack) this.storeBackMs = this.deps.clock.monotonicMs();
    this.deps.logger.warn(isBack ? 'store-back' : 'store-lost', { reason });
  }
}
