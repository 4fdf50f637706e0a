/**
 * Whether this entry may accept and start work: the fence is open while it may and closed while it
 * may not. An entry whose fence is closed rejects a request and reports that the request was not run.
 */
import { type Event } from '../EventEmitter.js';

export type FenceReason =
  /** The entry is not an active member of the roster. */
  | 'not-a-member'
  /** As `minority-without-log`, and no other member's heartbeats arrive either. */
  | 'isolated'
  /** Neither the log nor a majority of the roster has recently confirmed the membership. */
  | 'minority-without-log'
  /** The entry has been missing from the platform's list of instances for too long. */
  | 'missing-from-list'
  /** The process was paused for longer than a proof of membership stays valid. */
  | 'paused'
  /** No usable configuration has been read yet, or it has been out of date for too long. */
  | 'stale-configuration';

export abstract class Fence {
  /** Fires when the fence opens (undefined), closes, or stays closed for another reason. */
  abstract readonly onChange: Event<FenceReason | undefined>;

  /** Why the entry must not start work; undefined if it may. Evaluated at the current time. */
  abstract reason(): FenceReason | undefined;
}
