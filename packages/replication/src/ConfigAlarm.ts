/**
 * Inconsistencies in the configuration stream that an operator must investigate. The entry keeps
 * the configuration that it has.
 */
import { type EntryId } from '@acaciadock/core';

export type ConfigAlarm =
  /** A snapshot differs from what this reader reduced from the same records. It was refused. */
  | { readonly kind: 'snapshot-contradicts'; readonly offset: number; readonly version: number }
  /** A record does not match the schema. It was skipped. */
  | { readonly kind: 'record-malformed'; readonly offset: number; readonly detail: string }
  /** A record has a newer format than this program can read. The reader does not go past it. */
  | { readonly kind: 'record-too-new'; readonly offset: number; readonly schemaVersion: number }
  /** The log ends before records that were already read from it. The reader keeps its state. */
  | { readonly kind: 'log-shortened'; readonly endOffset: number; readonly ownOffset: number }
  /** Early records have expired and no retained snapshot bridges the gap. */
  | { readonly kind: 'no-snapshot'; readonly firstOffset: number }
  /** A peer that has read the same records reports a different version. */
  | {
      readonly kind: 'peer-diverged';
      readonly entryId: EntryId;
      readonly offset: number;
      readonly ownVersion: number;
      readonly peerVersion: number;
    };
