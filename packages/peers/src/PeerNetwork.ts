/**
 * Messaging between entries. Delivery is at most once and in order per link; messages may be lost
 * when a link breaks. A message to the sending entry itself is delivered asynchronously, in a later
 * event-loop turn.
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

  /** Queues a message. Returns false if it was not queued: there is no link, it is down or full. */
  abstract send(toEntryId: EntryId, message: PeerMessage): boolean;

  /** Opens links to these peers where there are none, and closes the links to all others. */
  abstract setPeers(peers: readonly PeerAddress[]): void;
}
