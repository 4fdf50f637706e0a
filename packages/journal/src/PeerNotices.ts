/** Exchanges owner announcements with other entries directly, without the store. */
import { type IDisposable } from '@acaciadock/core';
import { type OwnerNotice } from './OwnershipGroup.js';

/** A process of an entry. */
export interface EntryProcess {
  readonly entryId: string;
  /** Start of the process, Unix milliseconds. */
  readonly bootMs: number;
}

/** How far the successor of an owner has read the journal. */
export type Preparation = 'pending' | 'ready' | 'failed';

/** What an entry reports about the owner and about itself. */
export interface PeerAnswer {
  /** The answering process; undefined from entries of earlier versions. */
  readonly process?: EntryProcess | undefined;
  /** The announcement with the highest epoch that the entry knows. */
  readonly notice: OwnerNotice | undefined;
  /** The entry owns the journal, and the store answers it promptly. */
  readonly isHealthyOwner: boolean;
  /** The entry has claimed the journal and is loading it, so it is not the owner yet. */
  readonly isLoading: boolean;
  /** The store answered the entry's latest renewal of its membership, a moment ago. */
  readonly isServedByStore: boolean;
  /**
   * The answer to an owner that is about to release the journal; undefined for any other and from
   * entries of earlier versions.
   */
  readonly preparation?: Preparation | undefined;
}

/** Queries which owner another entry knows, and sends it the announcement known here. */
export abstract class PeerNotices {
  /** Returns undefined if the peer does not answer. */
  abstract exchangeNotice(
    peerAddress: string,
    knownNotice?: OwnerNotice,
  ): Promise<PeerAnswer | undefined>;

  /**
   * Watches the process at the address. Calls `onRefused` each time that nothing listens there any
   * more; a process that merely doesn't answer is not reported.
   */
  abstract watch(peerAddress: string, onRefused: () => void): IDisposable;
}
