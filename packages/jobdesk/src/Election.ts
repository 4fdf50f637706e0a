/**
 * The task that keeps this entry in the ownership group, claims the journal when it is assigned
 * here, and gives it up when it is assigned elsewhere. It also learns who the owner is.
 */
import { type Clock, Disposable, EventEmitter, type Logger } from '@acaciadock/core';
import { Ownership } from '@acaciadock/coordinator';
import {
  type GroupMember,
  type GroupView,
  JournalClaim,
  type OwnedJournal,
  type OwnershipGroup,
  type RecordLog,
} from '@acaciadock/journal';

/**
 * Between two renewals of the membership, in milliseconds: a few fit into the time to live, and
 * the store counts a renewal as a tenth of a call.
 */
const RENEW_PERIOD_MS = 350;

/** Between two claims of this process, in milliseconds, so that two claimants don't spin. */
const CLAIM_PAUSE_MS = 300;

/** Between two questions for the owner while it is not known or does not answer. */
const OWNER_REFRESH_MS = 250;

export interface OwnedPeriod {
  readonly ownership: Ownership;
  readonly owned: OwnedJournal;
}

export interface ElectionDeps {
  readonly group: OwnershipGroup;
  readonly log: RecordLog;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class Election extends Disposable {
  private readonly ownedEmitter = this.register(new EventEmitter<OwnedPeriod>());

  /** Fires when this entry has claimed the journal. */
  readonly onOwned = this.ownedEmitter.event;

  private ownership: Ownership | undefined;

  private generation = -1;

  private isAssigned = false;

  private isClaiming = false;

  private currentOwner: GroupMember | undefined;

  private lastClaimMs = -Infinity;

  private lastOwnerReadMs = -Infinity;

  private storeLost = false;

  private claims = 0;

  /** Monotonic time of the last answer of the store. */
  lastStoreAnswerMs = -Infinity;

  constructor(
    private readonly self: GroupMember,
    private readonly deps: ElectionDeps,
  ) {
    super();
  }

  /** The member that the journal is assigned to, as far as is known. */
  get owner(): GroupMember | undefined {
    return this.currentOwner;
  }

  get isOwner(): boolean {
    return this.ownership?.isActive ?? false;
  }

  async run(): Promise<void> {
    while (!this.isDisposed) {
      await this.renew();
      await this.deps.clock.sleep(RENEW_PERIOD_MS);
    }
  }

  /** Leaves the group, so that the journal is assigned elsewhere at once. */
  async leave(): Promise<void> {
    this.ownership?.end('shutdown');
    this.dispose();
    await this.deps.group.leave(this.self);
  }

  /** Asks the store who the owner is, unless that was done a moment ago. */
  async refreshOwner(): Promise<void> {
    const nowMs = this.deps.clock.monotonicMs();
    if (nowMs - this.lastOwnerReadMs < OWNER_REFRESH_MS) return;
    this.lastOwnerReadMs = nowMs;
    const owner = await this.deps.group.owner();
    if (owner.isErr()) return;
    if (owner.value?.peerAddress !== this.currentOwner?.peerAddress) {
      this.deps.logger.info('owner-known', { owner: owner.value?.entryId ?? '' });
    }
    this.currentOwner = owner.value;
  }

  private async renew(): Promise<void> {
    const view = await this.deps.group.join(this.self);
    if (this.isDisposed) return;
    this.noteStore(view.isOk(), view.isErr() ? view.error.kind : '');
    if (view.isErr()) return;
    this.lastStoreAnswerMs = this.deps.clock.monotonicMs();
    this.applyView(view.value);
    if (this.currentOwner === undefined) void this.refreshOwner();
  }

  private applyView(view: GroupView): void {
    if (view.generation !== this.generation) {
      this.generation = view.generation;
      this.deps.logger.info('group-changed', {
        generation: view.generation,
        ownsJournal: view.ownsJournal,
      });
      void this.refreshOwner();
    }
    this.isAssigned = view.ownsJournal;
    if (!view.ownsJournal) {
      this.ownership?.end('reassigned');
      return;
    }
    this.currentOwner = this.self;
    if (this.isOwner) this.ownership?.confirm();
    else void this.claim();
  }

  private async claim(): Promise<void> {
    const { clock, log, logger } = this.deps;
    if (this.isClaiming || clock.monotonicMs() - this.lastClaimMs < CLAIM_PAUSE_MS) return;
    this.isClaiming = true;
    this.lastClaimMs = clock.monotonicMs();
    this.claims += 1;
    const { entryId, bootMs } = this.self;
    const owned = await new JournalClaim(log, clock).take(
      { entryId, bootMs, nonce: `${bootMs}-${this.claims}` },
      () => this.isAssigned && !this.isDisposed,
    );
    this.isClaiming = false;
    if (!owned || !this.isAssigned || this.isDisposed) return;
    const ownership = new Ownership(log, owned, clock);
    this.ownership = ownership;
    ownership.onEnd((reason) => {
      logger.info('ownership-ended', { epoch: owned.epoch, reason });
    });
    logger.info('ownership-claimed', {
      epoch: owned.epoch,
      records: owned.records.length,
      tookMs: Math.round(clock.monotonicMs() - this.lastClaimMs),
    });
    this.ownedEmitter.fire({ ownership, owned });
  }

  private noteStore(isBack: boolean, reason: string): void {
    if (this.storeLost === !isBack) return;
    this.storeLost = !isBack;
    this.deps.logger.warn(isBack ? 'store-back' : 'store-lost', { reason });
  }
}
