/**
 * Membership of the live entries, and the announcements of the owner of the journal. Both are only
 * advisory: two entries may consider themselves the owner for a moment, and only the claim in the
 * journal decides.
 */
import { type Result } from 'neverthrow';
import { type LogFailure } from './RecordLog.js';

export interface GroupMember {
  readonly entryId: string;
  /** Start of the member's process, Unix milliseconds. */
  readonly bootMs: number;
  /** `host:port` at which the member accepts calls from other entries. */
  readonly peerAddress: string;
  /** Processor capacity of the member, in thousandths of a core. */
  readonly cpuMilli: number;
}

export interface GroupView {
  /** Increases with every membership change. */
  readonly generation: number;
}

/** An announcement by the owner of the journal. */
export interface OwnerNotice {
  readonly owner: GroupMember;
  readonly epoch: number;
  /** The owner has released the journal and sends no more orders. */
  readonly isReleased: boolean;
  /**
   * Where the journal probably ends at the release, so that the successor's first claim need not
   * find that out.
   */
  readonly endOffset?: number | undefined;
  /** The owner is about to release the journal to the receiver; never set in the store. */
  readonly isEnding?: boolean | undefined;
}

/** Whether both are the same process of the same entry. */
export function isSameMember(a: GroupMember, b: GroupMember): boolean {
  return a.entryId === b.entryId && a.bootMs === b.bootMs;
}

/** Group membership and owner announcements, kept in the store. */
export abstract class OwnershipGroup {
  /** Joins the group or renews the membership. */
  abstract join(self: GroupMember): Promise<Result<GroupView, LogFailure>>;

  abstract leave(self: GroupMember): Promise<Result<void, LogFailure>>;

  abstract members(): Promise<Result<readonly GroupMember[], LogFailure>>;

  abstract announce(notice: OwnerNotice): Promise<Result<void, LogFailure>>;

  /** Returns the newest announcement; undefined if there is none. */
  abstract announced(): Promise<Result<OwnerNotice | undefined, LogFailure>>;
}
