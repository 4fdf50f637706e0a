/**
 * The live entries, and who the owner of the journal says it is. All of it is advice: two entries may both believe to be the owner for a
 * moment, and only the claim in the journal decides.
 */
import { type Result } from 'neverthrow';
import { type LogFailure } from './RecordLog.js';

export interface GroupMember {
  readonly entryId: string;
  /** Start of the member's process, Unix milliseconds. */
  readonly bootMs: number;
  /** `host:port` where the member takes calls of other entries. */
  readonly peerAddress: string;
  /** Processor that the member has, thousandths of a core. */
  readonly cpuMilli: number;
}

export interface GroupView {
  /** Rises with every change of the membership. */
  readonly generation: number;
}

/** The owner as it has announced itself. */
export interface OwnerNotice {
  readonly owner: GroupMember;
  readonly epoch: number;
  /** It has given the journal up and orders nothing any more. */
  readonly isReleased: boolean;
}

export function isSameMember(a: GroupMember, b: GroupMember): boolean {
  return a.entryId === b.entryId && a.bootMs === b.bootMs;
}

export abstract class OwnershipGroup {
  /** Joins, or stays a member. */
  abstract join(self: GroupMember): Promise<Result<GroupView, LogFailure>>;

  abstract leave(self: GroupMember): Promise<Result<void, LogFailure>>;

  abstract members(): Promise<Result<readonly GroupMember[], LogFailure>>;

  abstract announce(notice: OwnerNotice): Promise<Result<void, LogFailure>>;

  /** The newest announcement; undefined if there has been none. */
  abstract announced(): Promise<Result<OwnerNotice | undefined, LogFailure>>;
}
