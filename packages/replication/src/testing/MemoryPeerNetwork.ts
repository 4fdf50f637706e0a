/** The connection of one entry to the in-process network. */
import { type EntryId, EventEmitter, type IDisposable } from '@acaciadock/core';
import { type PeerMessage, PeerNetwork, type ReceivedMessage } from '@acaciadock/peers';
import { type MemoryPeerHub } from './MemoryPeerHub.js';

export class MemoryPeerNetwork extends PeerNetwork implements IDisposable {
  private readonly messageEmitter = new EventEmitter<ReceivedMessage>();

  override readonly onMessage = this.messageEmitter.event;

  constructor(
    override readonly selfEntryId: EntryId,
    private readonly hub: MemoryPeerHub,
  ) {
    super();
    hub.join(this);
  }

  override send(toEntryId: EntryId, message: PeerMessage): boolean {
    return this.hub.deliver(this.selfEntryId, toEntryId, message);
  }

  override setPeers(): void {
    // Nothing to do: the hub knows all entries.
  }

  receive(received: ReceivedMessage): void {
    this.messageEmitter.fire(received);
  }

  dispose(): void {
    this.hub.leave(this);
    this.messageEmitter.dispose();
  }
}
