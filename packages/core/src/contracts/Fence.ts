/**
 * Whether this entry may accept and start work. An entry that is fenced off rejects a request and
 * reports that the request was not run.
 */
import { type Event } from '../EventEmitter.js';

export type FenceReason =
  | 'not-a-member'
  | 'isolated'
  | 'minority-without-log'
  | 'missing-from-list'
  | 'paused'
  | 'stale-configuration';

export abstract class Fence {
  /** Fires when the fence is lifted (undefined) or raised (with the reason). */
  abstract readonly onChange: Event<FenceReason | undefined>;

  /** Why the entry must not start work; undefined if it may. Evaluated at the current time. */
  abstract reason(): FenceReason | undefined;
}
