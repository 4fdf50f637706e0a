/**
 * The owner before the current claim, as the journal names it, and whether it may still extend leases.
 * Until that is ruled out, the runs of targets that nobody reaches must not be started elsewhere.
 */
import { type OwnerRecord, type Ownership, readOwnerRecord } from '@acaciadock/coordinator';
import { type GroupMember, type OwnedJournal } from '@acaciadock/journal';
import { type OwnerAnnouncer } from './OwnerAnnouncer.js';
import { type OwnerDirectory, type OwnerDirectoryDeps } from './OwnerDirectory.js';

/** Stands for an owner whose record is malformed. It has no address to send a notice to. */
const UNIDENTIFIED_OWNER: OwnerRecord = {
  entryId: '',
  bootMs: 0,
  peerAddress: '',
  epoch: -1,
  formerMayExtend: true,
};

/** Interval between attempts to reach the previous owner, in milliseconds. */
const NOTIFY_RETRY_MS = 200;

export class PreviousOwner {
  private readonly record: OwnerRecord | undefined;

  constructor(
    owned: OwnedJournal,
    private readonly self: GroupMember,
    private readonly directory: OwnerDirectory,
    private readonly announcer: OwnerAnnouncer,
    private readonly deps: OwnerDirectoryDeps,
  ) {
    // An owner whose record is malformed can't be identified, so it may still extend leases.
    this.record = readOwnerRecord(owned).match(
      (found) => found,
      ({ kind, detail }) => {
        deps.logger.error(kind, { epoch: owned.epoch, detail });
        return UNIDENTIFIED_OWNER;
      },
    );
  }

  /**
   * Whether neither the previous owner nor any owner before it extends leases any more: the
   * previous owner's process has ended, or it has announced its release of exactly that epoch. The
   * previous owner is taken from the journal, because it may never have managed to announce itself.
   */
  get hasStoppedExtending(): boolean {
    const { record, self, directory } = this;
    if (!record) return true;
    if (record.formerMayExtend) return false;
    if (directory.hasProcessExited(record.entryId, record.bootMs)) return true;
    const isOwn = record.entryId === self.entryId && record.bootMs === self.bootMs;
    const { notice } = directory;
    return isOwn || (notice?.isReleased === true && notice.epoch === record.epoch);
  }

  /**
   * Notifies the previous owner of the claim until it answers. The answer proves that it has stepped
   * down or that its process has ended, so the upper bound on its lease extensions need not be waited
   * out.
   */
  async notify(ownership: Ownership): Promise<void> {
    const { record } = this;
    const { peers, clock, logger } = this.deps;
    // An even earlier owner may still extend leases: only waiting out the bound rules that out.
    if (!record || record.formerMayExtend) return;
    while (ownership.isActive && ownership.formerMayExtend) {
      const claim = this.announcer.noticeOf(ownership.epoch, false);
      const answer = await peers.exchangeNotice(record.peerAddress, claim);
      if ((answer?.notice?.epoch ?? -1) >= ownership.epoch) {
        logger.info('former-owner-stopped', { owner: record.entryId, epoch: record.epoch });
        ownership.markPreviousOwnerStopped();
        return;
      }
      await clock.sleep(NOTIFY_RETRY_MS);
    }
  }
}
