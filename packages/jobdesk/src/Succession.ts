/**
 * Chooses the member that claims the journal when its owner is gone. The owner does the work of all
 * pools, so the member with the most CPU capacity is preferred. The choice is deterministic: every
 * member makes the same one from the same list.
 */
import { type GroupMember } from '@acaciadock/journal';

export class Succession {
  /** Returns the member to claim after the previous owner, or undefined if there is none. */
  static successor(
    members: readonly GroupMember[],
    previousOwner: GroupMember | undefined,
  ): GroupMember | undefined {
    return members
      .filter((member) => member.entryId !== previousOwner?.entryId)
      .sort((a, b) => b.cpuMilli - a.cpuMilli || a.entryId.localeCompare(b.entryId))
      .at(0);
  }
}
