/**
 * An in-process network between entries in virtual time. Entries can be isolated, and messages can
 * be delayed.
 */
import { type Clock, type EntryId } from '@acaciadock/core';
import { type PeerMessage } from '@acaciadock/peers';
import { type MemoryPeerNetwork } from './MemoryPeerNetwork.js';

export class MemoryPeerHub {
  delayMs = 1;

  private readonly networks = new Map<EntryId, MemoryPeerNetwork>();

  private readonly isolatedEntries = new Set<EntryId>();

  constructor(private readonly clock: Clock) {}

  join(network: MemoryPeerNetwork): void {
    this.networks.set(network.selfEntryId, network);
  }

  leave(network: MemoryPeerNetwork): void {
    if (this.networks.get(network.selfEntryId) === network) {
      this.networks.delete(network.selfEntryId);
    }
  }

  entryIds(): EntryId[] {
    return [...this.networks.keys()];
  }

  /** Isolates an entry from all others, or reconnects it. */
  setIsolated(entryId: EntryId, isolated: boolean): void {
    if (isolated) this.isolatedEntries.add(entryId);
    else this.isolatedEntries.delete(entryId);
  }

  deliver(fromEntryId: EntryId, toEntryId: EntryId, message: PeerMessage): boolean {
    if (this.isPartitioned(fromEntryId, toEntryId) || !this.networks.has(toEntryId)) return false;
    // As on a real network, the receiver shares no object with the sender.
    const copy = JSON.parse(JSON.stringify(message)) as PeerMessage;
    this.clock.after(this.delayMs, () => {
      if (this.isPartitioned(fromEntryId, toEntryId)) return;
      this.networks.get(toEntryId)?.receive({ fromEntryId, message: copy });
    });
    return true;
  }

  private isPartitioned(fromEntryId: EntryId, toEntryId: EntryId): boolean {
    return this.isolatedEntries.has(fromEntryId) || this.isolatedEntries.has(toEntryId);
  }
}
