/** The links of the fleet model: messages take 1 ms; those to a killed entry are dropped. */
import { type EntryId } from '@acaciadock/core';
import { type PeerMessage } from '@acaciadock/peers';
import { type FleetNetwork } from './FleetNetwork.js';
import { type VirtualClock } from './VirtualClock.js';

const HOP_MS = 1;

export class FleetSwitch {
  readonly alive = new Map<EntryId, FleetNetwork>();

  constructor(readonly clock: VirtualClock) {}

  deliver(fromEntryId: EntryId, toEntryId: EntryId, message: PeerMessage): void {
    this.clock.after(HOP_MS, () => {
      this.alive.get(toEntryId)?.receive({ fromEntryId, message });
    });
  }
}
