/** The peer network of one entry of the fleet model. */
import { type EntryId, EventEmitter } from '@acaciadock/core';
import { type PeerMessage, PeerNetwork, type ReceivedMessage } from '@acaciadock/peers';
import { type FleetSwitch } from './FleetSwitch.js';

export class FleetNetwork extends PeerNetwork {
  private readonly emitter = new EventEmitter<ReceivedMessage>();

  override readonly onMessage = this.emitter.event;

  constructor(
    override readonly selfEntryId: EntryId,
    private readonly links: FleetSwitch,
  ) {
    super();
    links.alive.set(selfEntryId, this);
  }

  override send(toEntryId: EntryId, message: PeerMessage): boolean {
    if (this.links.alive.get(this.selfEntryId) !== this) return false;
    this.links.deliver(this.selfEntryId, toEntryId, message);
    return true;
  }

  override setPeers(): void {
    // All entries are always linked to each other.
  }

  receive(received: ReceivedMessage): void {
    this.emitter.fire(received);
  }
}
