/** The way to the other entries that does not lead over the store. */
import { type OwnerNotice } from './OwnershipGroup.js';

/** Asks another entry, past the store, who owns the journal as far as it knows, and tells it. */
export abstract class PeerNotices {
  /** Undefined if the peer does not answer or knows of no owner. */
  abstract ask(peerAddress: string, told?: OwnerNotice): Promise<OwnerNotice | undefined>;
}
