/**
 * Gives the journal up: for a planned stop, for a member with much more CPU capacity, and when the
 * store turns this owner away but serves its successor. The release is announced in the store and
 * told to the successor directly. The store may be slow or reject this entry, and others look at its
 * announcement only after a change of the membership.
 */
import { type Ownership } from '@acaciadock/coordinator';
import { CLAIM_KEY, type GroupMember } from '@acaciadock/journal';
import { type OwnerAnnouncer } from './OwnerAnnouncer.js';
import { type OwnerDirectory, type OwnerDirectoryDeps } from './OwnerDirectory.js';

/** Maximum time that a release waits for pending journal writes, in milliseconds. */
const FLUSH_TIMEOUT_MS = 400;

/**
 * Appends that are due at a release: the one in flight and the last one. If the store takes longer than
 * `FLUSH_TIMEOUT_MS` for them, they are not waited for, as nobody would serve the callers meanwhile.
 */
const FLUSH_APPENDS = 2;

/**
 * An owner whose appends the store has rejected for this long, in milliseconds, looks for a member that
 * the store serves. Shorter rejections cost less than a change of owner.
 */
const REJECTED_BEFORE_RELEASE_MS = 150;

export class OwnershipRelease {
  private isAsking = false;

  constructor(
    private readonly self: GroupMember,
    private readonly directory: OwnerDirectory,
    private readonly announcer: OwnerAnnouncer,
    private readonly deps: OwnerDirectoryDeps,
  ) {}

  /**
   * Ends the ownership; first waits for pending writes, unless the store is slow. The claim record is
   * written again only because its append is acknowledged after all earlier writes.
   */
  async afterFlush(
    ownership: Ownership,
    reason: 'shutdown' | 'handover',
    claimValue: () => Buffer,
  ): Promise<void> {
    const { writer } = ownership;
    if (FLUSH_APPENDS * writer.overdueMs <= FLUSH_TIMEOUT_MS) {
      const flushed = writer.close(CLAIM_KEY, claimValue);
      await Promise.race([flushed, this.deps.clock.sleep(FLUSH_TIMEOUT_MS)]);
    }
    await this.end(ownership, reason);
  }

  /**
   * Hands over if the store rejects this owner's appends and its successor confirms that the store
   * serves it. A rejected append had no effect, so nothing of this owner is in flight then.
   */
  async toServedSuccessor(ownership: Ownership): Promise<void> {
    if (this.isAsking || !OwnershipRelease.isTurnedAway(ownership)) return;
    const successor = this.directory.successorOf(this.self);
    if (!successor) return;
    this.isAsking = true;
    const known = this.announcer.noticeOf(ownership.epoch, false);
    const answer = await this.deps.peers.exchangeNotice(successor.peerAddress, known);
    this.isAsking = false;
    if (answer?.isServedByStore !== true || !OwnershipRelease.isTurnedAway(ownership)) return;
    this.deps.logger.warn('handover', { reason: 'store-rejects', successor: successor.entryId });
    await this.end(ownership, 'handover');
  }

  private static isTurnedAway({ isActive, writer }: Ownership): boolean {
    return isActive && writer.isRejected && writer.stalledMs >= REJECTED_BEFORE_RELEASE_MS;
  }

  private async end(ownership: Ownership, reason: 'shutdown' | 'handover'): Promise<void> {
    if (!ownership.isActive) return;
    const { endOffset } = ownership.writer;
    ownership.end(reason);
    const released = { ...this.announcer.noticeOf(ownership.epoch, true), endOffset };
    const successor = this.directory.successorOf(this.self);
    const told = successor && this.deps.peers.exchangeNotice(successor.peerAddress, released);
    await Promise.all([told, this.announcer.announceRelease(released)]);
  }
}
