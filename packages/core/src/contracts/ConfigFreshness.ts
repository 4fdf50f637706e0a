/**
 * Whether this entry's configuration is known to be behind. The follower of the configuration
 * implements it; the fence consumes it: an entry that stays behind must stop accepting work,
 * because a key may have been withdrawn or a limit lowered since.
 */
import { type Event } from '../EventEmitter.js';

export abstract class ConfigFreshness {
  /** Fires when the entry learns that it is behind, and when it has caught up. */
  abstract readonly onFreshness: Event<void>;

  /** Whether the entry has a configuration to serve: read to the log's end, or from a peer. */
  abstract isReady(): boolean;

  /**
   * For how long this entry has known that a newer version than its own exists, in milliseconds;
   * undefined if it knows of none. Reads the clock each time.
   */
  abstract behindForMs(): number | undefined;
}
