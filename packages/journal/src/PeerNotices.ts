/** The way to the other entries that does not lead over the store. */
import { type OwnerNotice } from './OwnershipGroup.js';

/** What an entry says of the owner, and of itself. */
export interface PeerAnswer {
  /** The announcement with the highest epoch that it knows of. */
  readonly notice: OwnerNotice | undefined;
  /** It owns the journal, and the store answers it promptly. */
  readonly isHealthyOwner: boolean;
}

/** Asks another entry, past the store, who owns the journal as far as it knows, and tells it. */
export abstract class PeerNotices {
  /** Undefined if the peer does not answer. */
  abstract ask(peerAddress: string, told?: OwnerNotice): Promise<PeerAnswer | undefined>;
}
