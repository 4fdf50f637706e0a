/**
 * Decides whether this entry may claim the journal: the announced owner is gone, and nobody else should claim
 * first. Silence of the owner alone is no proof of its end.
 */
import { type Clock } from '@acaciadock/core';
import {
  type GroupMember,
  isSameMember,
  type OwnerNotice,
  type PeerAnswer,
} from '@acaciadock/journal';
import { type OwnerDirectory } from './OwnerDirectory.js';
import { type OwnerWatch } from './OwnerWatch.js';
import { Succession } from './Succession.js';

/** Minimum uptime before an entry claims if there was never an owner, in milliseconds. */
const FIRST_CLAIM_DELAY_MS = 900;

/** The membership of a process that has ended is gone after this time, in milliseconds. */
const MAX_MEMBERSHIP_MS = 3_000;

export class OwnerCheck {
  /** Epoch of the latest owner that has answered that it is not loading any more. */
  private loadedEpoch = -1;

  constructor(
    private readonly self: GroupMember,
    private readonly directory: OwnerDirectory,
    private readonly ownerWatch: OwnerWatch,
    private readonly clock: Clock,
  ) {}

  /** Whether the owner is gone and this entry, which is its successor, may claim. */
  async mayClaim(): Promise<boolean> {
    return (await this.isOwnerGone()) && !(await this.yieldsAfterRestart());
  }

  private async isOwnerGone(): Promise<boolean> {
    const { directory } = this;
    if (!(await directory.readNotice())) return false;
    const { notice } = directory;
    // Before the first claim, the other entries get time to join, so that the strongest one claims.
    if (!notice) return this.clock.unixMs() - this.self.bootMs > FIRST_CLAIM_DELAY_MS;
    if (notice.isReleased || isSameMember(notice.owner, this.self)) return true;
    if (this.awaitsStronger(notice.owner)) return false;
    if (this.ownerWatch.isGone(notice.owner)) return true;
    if (!(await directory.listMembers())) return false;
    // A later process of the owner's entry proves the owner's end before its membership expires.
    if (directory.hasProcessExited(notice.owner.entryId, notice.owner.bootMs)) return true;
    if (directory.isMember(notice.owner)) return this.isReplaceable(notice);
    // A membership may also expire by mistake, or not be listed yet. A healthy owner, or one that is
    // still loading, is not replaced because of that.
    const answer = await directory.queryPeer(notice.owner);
    if (OwnerCheck.isLoading(answer, notice)) return this.mayBeLoading(notice);
    return answer?.isHealthyOwner !== true;
  }

  /** Whether the announced owner answers that it is still loading the journal for that claim. */
  private static isLoading(answer: PeerAnswer | undefined, { epoch }: OwnerNotice): boolean {
    return answer?.isLoading === true && answer.notice?.epoch === epoch;
  }

  private awaitsStronger(previousOwner: GroupMember): boolean {
    return Succession.awaitsStronger(this.self, previousOwner, this.uptimeMs);
  }

  private get uptimeMs(): number {
    return this.clock.unixMs() - this.self.bootMs;
  }

  /** Whether a much weaker entry has announced its claim and may not have loaded the journal yet. */
  mayBeLoading({ owner, epoch }: OwnerNotice): boolean {
    return epoch > this.loadedEpoch && Succession.isMuchStronger(this.self, owner);
  }

  /**
   * Whether an announced owner whose membership lives is to be replaced. A membership outlives its
   * process for a while, which matters when all entries restart at once: a later process answers then.
   * A much weaker entry that is still loading the journal is superseded, as this entry loads it in a
   * fraction of the time and would get it by a handover anyway.
   */
  private async isReplaceable(notice: OwnerNotice): Promise<boolean> {
    const { owner, epoch } = notice;
    const mayBeLoading = this.mayBeLoading(notice);
    if (this.uptimeMs > MAX_MEMBERSHIP_MS && !mayBeLoading) return false;
    const answer = await this.directory.queryPeer(owner);
    if (this.directory.hasProcessExited(owner.entryId, owner.bootMs)) return true;
    if (answer?.isLoading === false) this.loadedEpoch = epoch;
    return mayBeLoading && OwnerCheck.isLoading(answer, notice);
  }

  /**
   * Whether this process follows one that owned the journal, and leaves the claim to an entry that has
   * been up for longer and is there. A much weaker entry would hand the journal over to this one anyway.
   */
  private async yieldsAfterRestart(): Promise<boolean> {
    const { directory, self } = this;
    const owner = directory.notice?.owner;
    if (!Succession.isRestart(self, owner)) return false;
    const successor = directory.successorOf(owner);
    if (!successor || isSameMember(successor, self)) return false;
    if (Succession.isMuchStronger(self, successor)) return false;
    // A member that has ended is listed for a while, and its entry may have started again.
    const answer = await directory.queryPeer(successor);
    if (!answer?.isServedByStore) return false;
    return Succession.wasUpBefore(answer.process ?? successor, self);
  }
}
