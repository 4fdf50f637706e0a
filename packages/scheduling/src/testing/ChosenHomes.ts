/** A `HomeMap` that ranks the entries in the order set by the test, the same for every pool. */
import { type EntryId, EventEmitter, HomeMap } from '@acaciadock/core';

export class ChosenHomes extends HomeMap {
  private readonly emitter = new EventEmitter<void>();

  override readonly onChange = this.emitter.event;

  private ranked: readonly EntryId[] = ['e0', 'g1', 'g2'];

  override rankedHomes(): readonly EntryId[] {
    return this.ranked;
  }

  override liveEntries(): readonly EntryId[] {
    return this.ranked;
  }

  set(ranked: readonly EntryId[]): void {
    this.ranked = ranked;
    this.emitter.fire();
  }
}
