/**
 * Cancellations of one event-loop turn, sent to each home as few messages: a wave of ten thousand
 * callers that hang up together costs some tens of messages.
 */
import { type EntryId } from '@acaciadock/core';
import { type PeerNetwork } from '@acaciadock/peers';

const MOST_IDS_PER_MESSAGE = 1_000;

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
      for (let from = 0; from < ticketIds.length; from += MOST_IDS_PER_MESSAGE) {
        const part = ticketIds.slice(from, from + MOST_IDS_PER_MESSAGE);
        // A cancellation that is lost costs one grant, which comes back unused.
        this.network.send(homeEntryId, { kind: 'tickets-cancelled', ticketIds: part });
      }
    });
  }
}
