/**
 * Keeps the stored announcement of the owner correct: announces this entry's ownership and its release,
 * repeats what a late announcement has replaced, and corrects what names this entry by mistake.
 */
import { type Ownership } from '@acaciadock/coordinator';
import { type GroupMember, isSameMember, type OwnerNotice } from '@acaciadock/journal';
import { type OwnerDirectory, type OwnerDirectoryDeps } from './OwnerDirectory.js';

/** Interval of the checks of the stored announcement, in milliseconds. */
const CHECK_PERIOD_MS = 1_500;

/** Interval between attempts to announce the ownership, in milliseconds. */
const ANNOUNCE_RETRY_MS = 150;

export class OwnerAnnouncer {
  private lastConfirmationMs = -Infinity;

  private lastCorrectionMs = -Infinity;

  constructor(
    private readonly self: GroupMember,
    private readonly directory: OwnerDirectory,
    private readonly deps: OwnerDirectoryDeps,
  ) {}

  noticeOf(epoch: number, isReleased: boolean): OwnerNotice {
    return { owner: this.self, epoch, isReleased };
  }

  /** Announces a claim whose journal is not loaded yet; once, because the load may still fail. */
  announceClaim(epoch: number): OwnerNotice {
    const notice = this.noticeOf(epoch, false);
    void this.deps.group.announce(notice);
    return notice;
  }

  /** Announces the ownership until the store has the announcement or the ownership ends. */
  async announce(ownership: Ownership): Promise<void> {
    const notice = this.noticeOf(ownership.epoch, false);
    while (ownership.isActive) {
      const done = await this.deps.group.announce(notice);
      if (done.isOk()) return;
      this.deps.logger.warn('owner-unannounced', { reason: done.error.kind });
      await this.deps.clock.sleep(ANNOUNCE_RETRY_MS);
    }
  }

  async announceRelease(released: OwnerNotice): Promise<void> {
    this.directory.accept(released, 'self');
    await this.deps.group.announce(released);
  }

  /** Announces the ownership again if a late announcement of an earlier claim has replaced it. */
  async confirm(ownership: Ownership | undefined): Promise<void> {
    const nowMs = this.deps.clock.monotonicMs();
    if (nowMs - this.lastConfirmationMs < CHECK_PERIOD_MS) return;
    this.lastConfirmationMs = nowMs;
    const stored = await this.deps.group.announced();
    if (stored.isErr() || !ownership?.isActive) return;
    if ((stored.value?.epoch ?? -1) < ownership.epoch) await this.announce(ownership);
    else this.directory.accept(stored.value, 'store');
  }

  /**
   * Corrects the stored announcement if it names this entry although it no longer owns the journal.
   * No other entry claims while the announced owner is alive, so they must learn of this entry's
   * release or of a later owner that it knows of.
   */
  async correct(isClaiming: () => boolean): Promise<void> {
    const nowMs = this.deps.clock.monotonicMs();
    if (isClaiming() || nowMs - this.lastCorrectionMs < CHECK_PERIOD_MS) return;
    this.lastCorrectionMs = nowMs;
    const stored = await this.deps.group.announced();
    if (stored.isErr() || !stored.value || isClaiming()) return;
    this.directory.accept(stored.value, 'store');
    const isAnnouncedOwner = isSameMember(stored.value.owner, this.self);
    if (!isAnnouncedOwner || stored.value.isReleased) return;
    const { notice } = this.directory;
    const isLater = notice !== undefined && notice.epoch > stored.value.epoch;
    const isReleased = notice?.epoch === stored.value.epoch && notice.isReleased;
    if (isLater || isReleased) await this.deps.group.announce(notice);
  }
}
