/**
 * Tracks which entries are missing from the platform's list of instances. The list lags behind and
 * may be incomplete by mistake. Absence therefore counts only if it lasts, and a list that lacks
 * many members whose heartbeats still arrive is discarded as implausible.
 */
import { type EntryId } from '@acaciadock/core';
import { type InstanceList } from '@acaciadock/platform';

/** A list that lacks at least this share of the members known to be alive is implausible. */
const IMPLAUSIBLE_RATIO = 1 / 3;

export class InstanceListTracker {
  private readonly absentSinceMs = new Map<EntryId, number>();

  private leaving = new Set<EntryId>();

  private implausible = 0;

  /** Number of lists discarded as implausible so far. */
  get implausibleLists(): number {
    return this.implausible;
  }

  /** Processes a list read at `nowMs`. `heard` holds those of `entryIds` known to be alive. */
  update(
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
      this.reset();
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

  /** Restarts all absence timers, for example because the list could not be read. */
  reset(): void {
    this.absentSinceMs.clear();
  }

  /** How long the entry has been missing from the list without interruption, in milliseconds. */
  absentMs(entryId: EntryId, nowMs: number): number {
    const sinceMs = this.absentSinceMs.get(entryId);
    return sinceMs === undefined ? 0 : nowMs - sinceMs;
  }

  isLeaving(entryId: EntryId): boolean {
    return this.leaving.has(entryId);
  }
}
