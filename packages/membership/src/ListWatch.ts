/**
 * What the platform's list says of the entries. The list lags and may come back short by mistake,
 * so that absence counts only over time, and a list that lacks many members whose heartbeats are
 * heard is set aside as a whole.
 */
import { type EntryId } from '@acaciadock/core';
import { type InstanceList } from '@acaciadock/platform';

/** A list that lacks this part of the members that are heard, or more, is not believed. */
const IMPLAUSIBLE_RATIO = 1 / 3;

export class ListWatch {
  private readonly absentSinceMs = new Map<EntryId, number>();

  private leaving = new Set<EntryId>();

  private implausible = 0;

  /** Lists that were set aside so far. */
  get implausibleLists(): number {
    return this.implausible;
  }

  /** Takes a list, read at `nowMs`, for these entries, of which `heard` are alive for certain. */
  take(
    list: InstanceList,
    entryIds: readonly EntryId[],
    heard: ReadonlySet<EntryId>,
    nowMs: number,
  ): void {
    const listed = new Set(
      list.instances.filter(({ role }) => role === 'entry').map(({ instanceId }) => instanceId),
    );
    const missing = [...heard].filter((entryId) => !listed.has(entryId)).length;
    if (missing > 0 && missing >= heard.size * IMPLAUSIBLE_RATIO) {
      this.implausible += 1;
      this.forget();
      return;
    }
    this.leaving = new Set(
      list.instances.filter(({ state }) => state === 'leaving').map(({ instanceId }) => instanceId),
    );
    entryIds.forEach((entryId) => {
      if (listed.has(entryId)) this.absentSinceMs.delete(entryId);
      else if (!this.absentSinceMs.has(entryId)) this.absentSinceMs.set(entryId, nowMs);
    });
  }

  /** The list could not be read: absence is counted anew. */
  forget(): void {
    this.absentSinceMs.clear();
  }

  /** For how long the entry has been off the list without a break, in milliseconds. */
  absentMs(entryId: EntryId, nowMs: number): number {
    const sinceMs = this.absentSinceMs.get(entryId);
    return sinceMs === undefined ? 0 : nowMs - sinceMs;
  }

  isLeaving(entryId: EntryId): boolean {
    return this.leaving.has(entryId);
  }
}
