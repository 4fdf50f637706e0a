/**
 * Lets the successor notice within milliseconds that the owner's process has ended, before its
 * membership expires. Only the successor watches, so the owner holds one more connection whatever the
 * number of entries.
 */
import { Disposable, EventEmitter, type IDisposable, type Logger } from '@acaciadock/core';
import {
  type GroupMember,
  isSameMember,
  type OwnerNotice,
  type PeerNotices,
} from '@acaciadock/journal';

export class OwnerWatch extends Disposable {
  private readonly goneEmitter = this.register(new EventEmitter<void>());

  /** Fires once when nothing listens any more at the address of the watched owner. */
  readonly onGone = this.goneEmitter.event;

  private watched: GroupMember | undefined;

  private watch: IDisposable | undefined;

  private gone: GroupMember | undefined;

  constructor(
    private readonly peers: PeerNotices,
    private readonly logger: Logger,
  ) {
    super();
    this.register({ dispose: () => this.watch?.dispose() });
  }

  /** Watches the owner of this announcement; nobody if it is undefined or says it was released. */
  set(notice: OwnerNotice | undefined): void {
    const owner = notice?.isReleased === false ? notice.owner : undefined;
    if (this.isDisposed || OwnerWatch.isSame(owner, this.watched)) return;
    this.watch?.dispose();
    this.watched = owner;
    this.gone = undefined;
    this.watch = owner && this.peers.watch(owner.peerAddress, () => this.onRefused(owner));
  }

  /** Whether this owner's process has been seen to be gone. */
  isGone(owner: GroupMember): boolean {
    return OwnerWatch.isSame(owner, this.gone);
  }

  private onRefused(owner: GroupMember): void {
    if (this.isGone(owner)) return;
    this.logger.warn('owner-process-gone', { owner: owner.entryId });
    this.gone = owner;
    this.goneEmitter.fire();
  }

  private static isSame(one: GroupMember | undefined, other: GroupMember | undefined): boolean {
    if (!one || !other) return one === other;
    return isSameMember(one, other);
  }
}
