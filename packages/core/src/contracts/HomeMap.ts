/** Which entry dispatches a service: its home. Every entry derives it from the live members. */
import { type Event } from '../EventEmitter.js';
import { type EntryId, type ServiceId } from '../ids.js';

export abstract class HomeMap {
  /** Fires after the live members, and so possibly the homes, changed. */
  abstract readonly onChange: Event<void>;

  /** Live members by preference for this service; the first is its home. */
  abstract rankedHomes(serviceId: ServiceId): readonly EntryId[];

  /** All entries that are believed alive, this one included. */
  abstract liveEntries(): readonly EntryId[];
}
