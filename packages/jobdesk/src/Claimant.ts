/**
 * Claims the journal for this entry: appends the claim, announces it, loads the journal. Gives a claim
 * up once a later one is known, and once its load stalls while another entry could do it.
 */
import { Disposable } from '@acaciadock/core';
import {
  type GroupMember,
  JournalClaim,
  type JournalCopy,
  type OwnedJournal,
  type OwnerNotice,
  type RecordLog,
} from '@acaciadock/journal';
import { type OwnerAnnouncer } from './OwnerAnnouncer.js';
import { type OwnerDirectory, type OwnerDirectoryDeps } from './OwnerDirectory.js';

/** Minimum interval between claims, in milliseconds, so that two claimants don't livelock. */
const MIN_CLAIM_INTERVAL_MS = 300;

/**
 * Pause after another entry's claim superseded this entry's, in milliseconds. The other entry must
 * be able to load the journal over the slowest link before anyone claims again.
 */
const SUPERSEDED_PAUSE_MS = 3_000;

export interface ClaimantDeps extends OwnerDirectoryDeps {
  readonly log: RecordLog;
}

export class Claimant extends Disposable {
  /** Monotonic time of the latest claim. */
  lastClaimMs = -Infinity;

  private claiming = false;

  private claims = 0;

  /** The announcement of this entry's latest claim; undefined until its append succeeds. */
  private claimedNotice: OwnerNotice | undefined;

  private supersededMs = -Infinity;

  /** Ends the load of the current claim. */
  private loadAbort = new AbortController();

  constructor(
    private readonly self: GroupMember,
    private readonly directory: OwnerDirectory,
    private readonly announcer: OwnerAnnouncer,
    private readonly deps: ClaimantDeps,
  ) {
    super();
    this.register({ dispose: () => this.loadAbort.abort() });
  }

  get isClaiming(): boolean {
    return this.claiming;
  }

  get hasClaimed(): boolean {
    return this.claims > 0;
  }

  /** The announcement of a claim whose journal is being loaded. */
  get loadingNotice(): OwnerNotice | undefined {
    return this.claiming && !this.loadAbort.signal.aborted ? this.claimedNotice : undefined;
  }

  /** Gives the current claim up if this epoch is a later one. */
  handleNotice(epoch: number): void {
    const { loadingNotice } = this;
    if (loadingNotice && epoch > loadingNotice.epoch) this.loadAbort.abort();
  }

  /**
   * Claims the journal; undefined if it is not to be had, or if a claim is under way. `takeCopy`
   * returns what was read of it before.
   */
  async claim(
    isWanted: () => boolean,
    takeCopy: () => JournalCopy | undefined,
  ): Promise<OwnedJournal | undefined> {
    const { clock, log, logger } = this.deps;
    const nowMs = clock.monotonicMs();
    if (this.claiming) return undefined;
    if (nowMs - this.lastClaimMs < MIN_CLAIM_INTERVAL_MS) return undefined;
    if (nowMs - this.supersededMs < SUPERSEDED_PAUSE_MS) return undefined;
    this.claiming = true;
    this.claimedNotice = undefined;
    this.loadAbort = new AbortController();
    this.lastClaimMs = nowMs;
    this.claims += 1;
    const { entryId, bootMs } = this.self;
    const copy = takeCopy();
    const owned = await new JournalClaim(log, clock).acquire({
      holder: { entryId, bootMs, nonce: this.nonce },
      firstOffset: this.directory.notice?.endOffset,
      copy,
      isWanted,
      signal: this.loadAbort.signal,
      onClaimed: (epoch) => this.announceClaim(epoch),
      onLoadTimeout: () => this.handleLoadTimeout(),
    });
    this.claiming = false;
    if (this.isDisposed) return undefined;
    if (!owned) {
      this.handleUnusedClaim(!isWanted());
      return undefined;
    }
    const tookMs = Math.round(clock.monotonicMs() - this.lastClaimMs);
    logger.info('ownership-claimed', {
      epoch: owned.epoch,
      records: owned.records.length,
      wasPrepared: copy !== undefined,
      tookMs,
    });
    return owned;
  }

  /** Value of the record of the latest claim. */
  encodeClaim(): Buffer {
    const { entryId, bootMs } = this.self;
    return Buffer.from(JSON.stringify({ entryId, bootMs, nonce: this.nonce }));
  }

  private get nonce(): string {
    return `${this.self.bootMs}-${this.claims}`;
  }

  /**
   * Announces the claim before the journal is loaded, so that nobody else claims meanwhile. An entry
   * whose claim this one supersedes is told directly, so that it stops loading.
   */
  private announceClaim(epoch: number): void {
    this.claimedNotice = this.announcer.announceClaim(epoch);
    const superseded = this.directory.notice;
    if (!superseded || superseded.isReleased || epoch <= superseded.epoch) return;
    void this.deps.peers.exchangeNotice(superseded.owner.peerAddress, this.claimedNotice);
  }

  /** Gives the claim up for another entry that has at least the same CPU capacity. */
  private handleLoadTimeout(): void {
    const { directory, deps, self, claimedNotice } = this;
    const successor = directory.successorOf(self);
    if (!claimedNotice || !successor || successor.cpuMilli < self.cpuMilli) return;
    deps.logger.warn('claim-given-up', { successor: successor.entryId });
    this.loadAbort.abort();
    const released = { ...claimedNotice, isReleased: true };
    void this.announcer.announceRelease(released);
    void deps.peers.exchangeNotice(successor.peerAddress, released);
  }

  /**
   * Handles a claim that did not lead to ownership: before the journal was loaded, another claim
   * superseded it, its load stalled, or the store became unavailable. If the claim was announced, the
   * other entries wait for this one. Recording that announcement makes the election claim again,
   * unless the release or a later owner has been announced.
   */
  private handleUnusedClaim(isStoreLost: boolean): void {
    if (!isStoreLost) this.supersededMs = this.deps.clock.monotonicMs();
    this.directory.accept(this.claimedNotice, 'self');
    this.deps.logger.info('claim-unused', { isStoreLost });
  }
}
