/** What an operator must look at: the configuration goes on, but something contradicts it. */
import { type EntryId } from '@acaciadock/core';

export type ConfigAlarm =
  /** A snapshot does not fit what this reader reduced from the same records. It was refused. */
  | { readonly kind: 'snapshot-contradicts'; readonly offset: number; readonly version: number }
  | { readonly kind: 'record-malformed'; readonly offset: number; readonly detail: string }
  /** A record has a newer format than this program reads. The reader stays before it. */
  | { readonly kind: 'record-too-new'; readonly offset: number; readonly schemaVersion: number }
  /** The log ends before what was already read from it. The reader keeps what it has. */
  | { readonly kind: 'log-shortened'; readonly endOffset: number; readonly ownOffset: number }
  /** Early records have expired and no kept snapshot bridges the gap. */
  | { readonly kind: 'no-snapshot'; readonly firstOffset: number }
  /** A peer has another version after the same records. */
  | {
      readonly kind: 'peer-diverged';
      readonly entryId: EntryId;
      readonly offset: number;
      readonly ownVersion: number;
      readonly peerVersion: number;
    };
