/**
 * Gives the journal up: for a planned stop, for a member with much more CPU capacity, and when the
 * store turns this owner away but serves its successor. The release is announced in the store and
 * told to the successor directly. The store may be slow or reject this entry, and others look at its
 * announcement only after a change of the membership.
 */
import { type Ownership } from '@acaciadock/coordinator';
import { CLAIM_KEY, type GroupMember, type Preparation } from '@acaciadock/journal';
import { type OwnerAnnouncer } from './OwnerAnnouncer.js';
import { type OwnerDirectory, type OwnerDirectoryDeps } from './OwnerDirectory.js';

/** Maximum time for which an owner that is to stop waits for its successor, in milliseconds. */
const MAX_PREPARATION_MS = 2_000;

/** Interval at which the successor is asked how far it has come, in milliseconds. */
const PREPARATION_POLL_MS = 50;

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

/**
 * The same for appends that fail otherwise, in milliseconds. By then the successor has renewed its
 * membership, or failed to, since the first failure.
 */
const FAILING_BEFORE_RELEASE_MS = 350;

/**
 * Failures of an append, without a success between them, that show that this entry doesn't get through.
 * Lost answers are no such failures: an append whose answer is lost is repeated long before it fails.
 */
const MIN_FAILURES = 3;

export class OwnershipRelease {
  private isAsking = false;

  constructor(
    private readonly self: GroupMember,
    private readonly directory: OwnerDirectory,
    private readonly announcer: OwnerAnnouncer,
    private readonly deps: OwnerDirectoryDeps,
    /** Whether the last renewal of this entry's membership failed. */
    private readonly isStoreLost: () => boolean,
  ) {}

  /**
   * Lets the successor read the journal while this owner still serves. Returns once it has done so or
   * has failed to, or if it doesn't answer for too long.
   */
  async prepareSuccessor(ownership: Ownership, maxMs = MAX_PREPARATION_MS): Promise<void> {
    const { directory, deps, announcer, self } = this;
    const known = { ...announcer.noticeOf(ownership.epoch, false), isEnding: true };
    const startedMs = deps.clock.monotonicMs();
    const untilMs = startedMs + Math.min(maxMs, MAX_PREPARATION_MS);
    let preparation: Preparation | undefined = 'pending';
    while (ownership.isActive && preparation === 'pending' && deps.clock.monotonicMs() < untilMs) {
      // Another member may have become the successor meanwhile.
      const successor = directory.successorOf(self);
      if (!successor) return;
      const answer = await deps.peers.exchangeNotice(successor.peerAddress, known);
      // An entry of an earlier version can't prepare; one that doesn't answer may do so in a moment.
      preparation = answer ? answer.preparation : 'pending';
      if (preparation === 'pending') await deps.clock.sleep(PREPARATION_POLL_MS);
    }
    const tookMs = Math.round(deps.clock.monotonicMs() - startedMs);
    deps.logger.info('successor-prepared', { preparation, tookMs });
  }

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
   * Hands over if the store takes none of this owner's appends and its successor confirms that the store
   * serves it. An append without an answer may still be carried out: the claim of the successor then
   * follows it, or fences it.
   */
  async toServedSuccessor(ownership: Ownership): Promise<void> {
    if (this.isAsking || !this.isTurnedAway(ownership)) return;
    const successor = this.directory.successorOf(this.self);
    if (!successor) return;
    this.isAsking = true;
    const known = this.announcer.noticeOf(ownership.epoch, false);
    const answer = await this.deps.peers.exchangeNotice(successor.peerAddress, known);
    this.isAsking = false;
    if (answer?.isServedByStore !== true || !this.isTurnedAway(ownership)) return;
    const reason = ownership.writer.isRejected ? 'store-rejects' : 'store-unreachable';
    this.deps.logger.warn('handover', { reason, successor: successor.entryId });
    await this.end(ownership, 'handover');
  }

  /** Whether appends fail: the store rejects them, or they fail otherwise and so do renewals. */
  private isTurnedAway({ isActive, writer }: Ownership): boolean {
    if (!isActive) return false;
    if (writer.isRejected) return writer.stalledMs >= REJECTED_BEFORE_RELEASE_MS;
    if (!this.isStoreLost() || writer.failedAttempts < MIN_FAILURES) return false;
    return writer.stalledMs >= FAILING_BEFORE_RELEASE_MS;
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
