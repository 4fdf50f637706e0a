/**
 * Batches the ticket cancellations of one event-loop turn into few messages for each home. When
 * ten thousand callers disconnect together, only some tens of messages are sent.
 */
import { type EntryId } from '@acaciadock/core';
import { type PeerNetwork } from '@acaciadock/peers';

const MAX_IDS_PER_MESSAGE = 1_000;

export class CancelBatch {
  private pending = new Map<EntryId, string[]>();

  constructor(private readonly network: PeerNetwork) {}

  add(homeEntryId: EntryId, ticketId: string): void {
    if (this.pending.size === 0) setImmediate(() => this.flush());
    const known = this.pending.get(homeEntryId);
    if (known) known.push(ticketId);
    else this.pending.set(homeEntryId, [ticketId]);
  }

  private flush(): void {
    const { pending } = this;
    this.pending = new Map();
    pending.forEach((ticketIds, homeEntryId) => {
      for (let from = 0; from < ticketIds.length; from += MAX_IDS_PER_MESSAGE) {
        const part = ticketIds.slice(from, from + MAX_IDS_PER_MESSAGE);
        // A lost cancellation costs one grant, which is returned unused.
        this.network.send(homeEntryId, { kind: 'tickets-cancelled', ticketIds: part });
      }
    });
  }
}
