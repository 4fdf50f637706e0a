/** The network between entries in one process, in virtual time: links can be cut and slow. */
import { type Clock, type EntryId } from '@acaciadock/core';
import { type PeerMessage } from '@acaciadock/peers';
import { type MemoryPeerNetwork } from './MemoryPeerNetwork.js';

export class MemoryPeerHub {
  delayMs = 1;

  private readonly networks = new Map<EntryId, MemoryPeerNetwork>();

  private readonly cutEntries = new Set<EntryId>();

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

  /** Cuts all links of an entry, or restores them. */
  cut(entryId: EntryId, isCut: boolean): void {
    if (isCut) this.cutEntries.add(entryId);
    else this.cutEntries.delete(entryId);
  }

  deliver(fromEntryId: EntryId, toEntryId: EntryId, message: PeerMessage): boolean {
    if (this.isCut(fromEntryId, toEntryId) || !this.networks.has(toEntryId)) return false;
    // As bytes on a link: the receiver shares no object with the sender.
    const copy = JSON.parse(JSON.stringify(message)) as PeerMessage;
    this.clock.after(this.delayMs, () => {
      if (this.isCut(fromEntryId, toEntryId)) return;
      this.networks.get(toEntryId)?.receive({ fromEntryId, message: copy });
    });
    return true;
  }

  private isCut(fromEntryId: EntryId, toEntryId: EntryId): boolean {
    return this.cutEntries.has(fromEntryId) || this.cutEntries.has(toEntryId);
  }
}
