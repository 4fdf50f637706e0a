/**
 * Chooses the member that claims the journal when its owner is gone. The owner does the work of all
 * pools, so the member with the most CPU capacity is preferred. The choice is deterministic: every
 * member makes the same one from the same list.
 */
import { type EntryProcess, type GroupMember, isSameMember } from '@acaciadock/journal';

/** A member counts as much stronger from this many times the CPU capacity of the other on. */
const MUCH_STRONGER_RATIO = 1.5;

/**
 * After its start an entry waits this long, in milliseconds, for the members that were stronger before
 * it claims. After a loss of all power the entries start within 0.3 s and join within another 0.3 s.
 */
const STRONGER_START_WAIT_MS = 1_000;

/** After a loss of all power the processes start within this time of each other, in milliseconds. */
const START_SPREAD_MS = 1_000;

export class Succession {
  /**
   * Returns the member to claim after the previous owner, or undefined if there is none. Only the process
   * that owned the journal is left out: a later process of its entry comes last, so that an entry whose
   * process crashes again and again gets the journal back only if nobody else is there.
   */
  static successor(
    members: readonly GroupMember[],
    previousOwner: GroupMember | undefined,
  ): GroupMember | undefined {
    const isOfOtherEntry = ({ entryId }: GroupMember): boolean =>
      entryId !== previousOwner?.entryId;
    const others = members.filter(isOfOtherEntry);
    const laterProcesses = members.filter((member) => Succession.isRestart(member, previousOwner));
    return Succession.strongest(others) ?? Succession.strongest(laterProcesses);
  }

  /** Whether the member is another process of the previous owner's entry. */
  static isRestart(member: GroupMember, previousOwner: GroupMember | undefined): boolean {
    if (member.entryId !== previousOwner?.entryId) return false;
    return !isSameMember(member, previousOwner);
  }

  private static strongest(members: readonly GroupMember[]): GroupMember | undefined {
    return [...members]
      .sort((a, b) => b.cpuMilli - a.cpuMilli || a.entryId.localeCompare(b.entryId))
      .at(0);
  }

  /** Whether the process was up before the other started, and not only a part of the same restart. */
  static wasUpBefore(process: EntryProcess, other: EntryProcess): boolean {
    return other.bootMs - process.bootMs > START_SPREAD_MS;
  }

  /** Whether a change of owner from the other to this member is worthwhile. */
  static isMuchStronger(member: GroupMember, other: GroupMember): boolean {
    return member.cpuMilli >= other.cpuMilli * MUCH_STRONGER_RATIO;
  }

  /**
   * Whether a member that has just started still waits for stronger ones: the previous owner was
   * stronger, so it or its equals may be starting, too.
   */
  static awaitsStronger(
    member: GroupMember,
    previousOwner: GroupMember,
    uptimeMs: number,
  ): boolean {
    return uptimeMs < STRONGER_START_WAIT_MS && Succession.isMuchStronger(previousOwner, member);
  }
}
