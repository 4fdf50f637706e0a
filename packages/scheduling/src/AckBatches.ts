/** Batches the acknowledgements of ended grants into one message per gateway for each flush. */
import { type EntryId } from '@acaciadock/core';
import { type PeerNetwork } from '@acaciadock/peers';

export class AckBatches {
  private readonly pending = new Map<EntryId, string[]>();

  constructor(private readonly network: PeerNetwork) {}

  add(gatewayEntryId: EntryId, grantId: string): void {
    const known = this.pending.get(gatewayEntryId);
    if (known) known.push(grantId);
    else this.pending.set(gatewayEntryId, [grantId]);
  }

  /** Sends the batches. If one can't be sent, the gateway reports the ends again. */
  flush(): void {
    this.pending.forEach((grantIds, entryId) => {
      this.network.send(entryId, { kind: 'grant-ended-ack', grantIds });
    });
    this.pending.clear();
  }
}
