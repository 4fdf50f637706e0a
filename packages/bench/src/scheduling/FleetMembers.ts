/** The live entries as all entries of the fleet model see them; `remove` drops killed ones. */
import { type EntryId, EventEmitter, HomeMap } from '@acaciadock/core';
import { rankForService } from '@acaciadock/membership';

export class FleetMembers extends HomeMap {
  private readonly emitter = new EventEmitter<void>();

  override readonly onChange = this.emitter.event;

  constructor(private live: readonly EntryId[]) {
    super();
  }

  override rankedHomes(key: string): readonly EntryId[] {
    return rankForService(key, this.live);
  }

  override liveEntries(): readonly EntryId[] {
    return this.live;
  }

  remove(entryIds: readonly EntryId[]): void {
    this.live = this.live.filter((entryId) => !entryIds.includes(entryId));
    this.emitter.fire();
  }
}
