/**
 * Whether this entry's configuration is known to be out of date. The configuration follower
 * implements this contract and the fence uses it: an entry whose configuration stays out of date
 * must stop accepting work, because a key may have been withdrawn or a limit lowered since.
 */
import { type Event } from '../EventEmitter.js';

export abstract class ConfigFreshness {
  /** Fires when the entry learns that a newer version exists, and when it has caught up. */
  abstract readonly onFreshness: Event<void>;

  /**
   * Whether the entry has a configuration that it may serve: one read up to the end of the log, or
   * one received from a peer with no newer version known.
   */
  abstract isReady(): boolean;

  /**
   * For how long this entry has known that a version newer than its own exists, in milliseconds;
   * undefined if it knows of none. Computed from the current time on each call.
   */
  abstract behindForMs(): number | undefined;
}
