/**
 * Which gateways answer. A grant that is sent to a dead gateway holds its slot until its lease
 * lapses, and a dead gateway with many tickets would soon hold them all. So a gateway gets only a
 * few grants until it is heard again; each one tells at once that it took its grants. A gateway
 * that never did so is not judged.
 */
import { type EntryId } from '@acaciadock/core';

const MOST_UNHEARD_GRANTS = 16;

export class GatewayPulse {
  /** Grants sent to each gateway that tells of them, since it was last heard. */
  private readonly unheard = new Map<EntryId, number>();

  /** Notes a message of a gateway; whether it had been held back. */
  hear(entryId: EntryId, tellsOfGrants: boolean): boolean {
    const unheard = this.unheard.get(entryId);
    if (tellsOfGrants || unheard !== undefined) this.unheard.set(entryId, 0);
    return (unheard ?? 0) >= MOST_UNHEARD_GRANTS;
  }

  /** Counts a grant that is about to be sent; false if the gateway must be heard first. */
  mayGrant(entryId: EntryId): boolean {
    const unheard = this.unheard.get(entryId);
    if (unheard === undefined) return true;
    if (unheard >= MOST_UNHEARD_GRANTS) return false;
    this.unheard.set(entryId, unheard + 1);
    return true;
  }

  /** Forgets all but these. */
  retain(entryIds: readonly EntryId[]): void {
    const kept = new Set(entryIds);
    this.unheard.forEach((_, entryId) => {
      if (!kept.has(entryId)) this.unheard.delete(entryId);
    });
  }
}
