/**
 * The owners before the current claim that may still extend leases, as the journal names them. Until
 * that is ruled out, the runs of targets that nobody reaches must not be started elsewhere.
 */
import { type FormerOwner, type Ownership, readOwnerRecord } from '@acaciadock/coordinator';
import { type GroupMember, type OwnedJournal } from '@acaciadock/journal';
import { type OwnerAnnouncer } from './OwnerAnnouncer.js';
import { type OwnerDirectory, type OwnerDirectoryDeps } from './OwnerDirectory.js';

/** Interval between attempts to reach a former owner, in milliseconds. */
const NOTIFY_RETRY_MS = 200;

/** With more owners that may still extend leases, their bound is waited out. */
const MAX_FORMER_OWNERS = 8;

export class PreviousOwner {
  /** Undefined if one of them is unknown, so that only waiting out the bound rules it out. */
  private readonly formers: readonly FormerOwner[] | undefined;

  /** The longest lease of theirs that may be in force, in milliseconds; undefined if only the targets bound it. */
  readonly leaseBoundMs: number | undefined;

  constructor(
    owned: OwnedJournal,
    private readonly self: GroupMember,
    private readonly directory: OwnerDirectory,
    private readonly announcer: OwnerAnnouncer,
    private readonly deps: OwnerDirectoryDeps,
  ) {
    this.formers = this.readFormers(owned);
    // An owner grants no lease before its record is durable.
    this.leaseBoundMs = readOwnerRecord(owned).match(
      (record) => (record ? record.leaseBoundMs : 0),
      () => undefined,
    );
  }

  /**
   * Whether no earlier owner extends leases any more: the process of each has ended, or it has
   * announced its release of exactly that epoch. They are taken from the journal, because one may
   * never have managed to announce itself.
   */
  get hasStoppedExtending(): boolean {
    return this.extending?.length === 0;
  }

  /** The earlier owners that may still extend leases; undefined if one of them is unknown. */
  get extending(): FormerOwner[] | undefined {
    return this.formers?.filter((former) => !this.hasStopped(former));
  }

  /**
   * Notifies the earlier owners of the claim until each has answered. An answer proves that the owner
   * has stepped down or that its process has ended, so the upper bound on lease extensions need not
   * be waited out.
   */
  async notify(ownership: Ownership): Promise<void> {
    const { extending } = this;
    if (!extending) return;
    await Promise.all(extending.map((former) => this.notifyOne(former, ownership)));
    ownership.markPreviousOwnerStopped();
  }

  private async notifyOne(former: FormerOwner, ownership: Ownership): Promise<void> {
    const { peers, clock, logger } = this.deps;
    while (ownership.isActive && ownership.formerMayExtend) {
      const claim = this.announcer.noticeOf(ownership.epoch, false);
      const answer = await peers.exchangeNotice(former.peerAddress, claim);
      if ((answer?.notice?.epoch ?? -1) >= ownership.epoch) {
        logger.info('former-owner-stopped', { owner: former.entryId, epoch: former.epoch });
        return;
      }
      await clock.sleep(NOTIFY_RETRY_MS);
    }
  }

  private readFormers(owned: OwnedJournal): readonly FormerOwner[] | undefined {
    return readOwnerRecord(owned).match(
      (record) => {
        if (!record) return [];
        const { entryId, bootMs, peerAddress, epoch, formerMayExtend } = record;
        const before = formerMayExtend ? record.formers : [];
        if (!before || before.length >= MAX_FORMER_OWNERS) return undefined;
        return [...before, { entryId, bootMs, peerAddress, epoch }];
      },
      // An owner whose record is malformed can't be identified, so it may still extend leases.
      ({ kind, detail }) => {
        this.deps.logger.error(kind, { epoch: owned.epoch, detail });
        return undefined;
      },
    );
  }

  private hasStopped({ entryId, bootMs, epoch }: FormerOwner): boolean {
    const { self, directory } = this;
    if (directory.hasProcessExited(entryId, bootMs)) return true;
    const isOwn = entryId === self.entryId && bootMs === self.bootMs;
    return isOwn || directory.hasReleased(epoch);
  }
}
