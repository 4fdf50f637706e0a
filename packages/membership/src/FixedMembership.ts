/** Members as named in the settings, all believed alive. */
import { type EntryId, EventEmitter, type HomeMap, type ServiceId } from '@acaciadock/core';
import { rankForService } from './RendezvousRanking.js';

export class FixedMembership implements HomeMap {
  private readonly changeEmitter = new EventEmitter<void>();

  readonly onChange = this.changeEmitter.event;

  constructor(private readonly entryIds: readonly EntryId[]) {}

  rankedHomes(serviceId: ServiceId): readonly EntryId[] {
    return rankForService(serviceId, this.entryIds);
  }

  liveEntries(): readonly EntryId[] {
    return this.entryIds;
  }
}
