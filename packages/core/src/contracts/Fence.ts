/** Whether this entry may accept and start work. A fenced entry refuses truthfully: not run. */
import { type Event } from '../EventEmitter.js';

export type FenceReason =
  | 'not-a-member'
  | 'isolated'
  | 'minority-without-log'
  | 'missing-from-list'
  | 'paused'
  | 'stale-configuration';

export abstract class Fence {
  /** Fires when the fence opens (undefined) or closes (the reason). */
  abstract readonly onChange: Event<FenceReason | undefined>;

  /** Why the entry must not start work now; undefined if it may. Reads the clock each time. */
  abstract reason(): FenceReason | undefined;
}
