/**
 * Messages between entries, as the contract that tasks see. Delivery is at most once and in
 * order per link; a message may be lost when a link breaks. A message to the entry itself is
 * delivered in a later turn, like any other.
 */
import { type EntryId, type Event } from '@acaciadock/core';
import { type PeerMessage } from './messages/PeerMessage.js';

export interface ReceivedMessage {
  readonly fromEntryId: EntryId;
  readonly message: PeerMessage;
}

export interface PeerAddress {
  readonly entryId: EntryId;
  /** `host:port` of the peer's gRPC server. */
  readonly address: string;
}

export abstract class PeerNetwork {
  abstract readonly selfEntryId: EntryId;

  abstract readonly onMessage: Event<ReceivedMessage>;

  /** Sends a message; false if there is no link or it is full, and then nothing was sent. */
  abstract send(toEntryId: EntryId, message: PeerMessage): boolean;

  /** Keeps a link to each of these peers, and ends the links to all others. */
  abstract setPeers(peers: readonly PeerAddress[]): void;
}
