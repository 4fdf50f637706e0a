/** Gathers acknowledgements of ended grants, so that one message per gateway and turn is sent. */
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

  /** Sends what was gathered. What can't be sent is asked for again by the gateway. */
  flush(): void {
    this.pending.forEach((grantIds, entryId) => {
      this.network.send(entryId, { kind: 'grant-ended-ack', grantIds });
    });
    this.pending.clear();
  }
}
