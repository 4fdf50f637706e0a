/**
 * Which entry dispatches a service: the home of the service. Every entry computes it from the set
 * of live members.
 */
import { type Event } from '../EventEmitter.js';
import { type EntryId, type ServiceId } from '../ids.js';

export abstract class HomeMap {
  /** Fires after the set of live members, and with it possibly the homes, has changed. */
  abstract readonly onChange: Event<void>;

  /** Live members ranked by preference for this service; the first is its home. */
  abstract rankedHomes(serviceId: ServiceId): readonly EntryId[];

  /** All entries that are considered alive, including this one. */
  abstract liveEntries(): readonly EntryId[];
}
