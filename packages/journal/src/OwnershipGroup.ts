/**
 * Which live entry should own the journal. The group only proposes: two entries may both believe
 * to be the owner for a moment, and only the claim in the journal decides.
 */
import { type Result } from 'neverthrow';
import { type LogFailure } from './RecordLog.js';

export interface GroupMember {
  readonly entryId: string;
  /** Start of the member's process, Unix milliseconds. */
  readonly bootMs: number;
  /** `host:port` where the member takes calls of other entries. */
  readonly peerAddress: string;
}

export interface GroupView {
  readonly generation: number;
  readonly ownsJournal: boolean;
}

export abstract class OwnershipGroup {
  /** Joins, or stays a member. */
  abstract join(self: GroupMember): Promise<Result<GroupView, LogFailure>>;

  abstract leave(self: GroupMember): Promise<Result<void, LogFailure>>;

  /** The member that the journal is assigned to, if any. */
  abstract owner(): Promise<Result<GroupMember | undefined, LogFailure>>;
}
