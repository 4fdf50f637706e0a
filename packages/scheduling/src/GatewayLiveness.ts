/**
 * Limits the grants sent to a gateway that has stopped responding. A grant sent to a dead gateway
 * holds its slot until its lease expires, so a dead gateway with many tickets would soon hold all
 * slots. Gateways acknowledge grants at once (`grants-taken`), and a gateway gets at most
 * `MAX_UNHEARD_GRANTS` grants until its next message. The limit does not apply to a gateway that
 * has never acknowledged a grant.
 */
import { type EntryId } from '@acaciadock/core';

const MAX_UNHEARD_GRANTS = 16;

export class GatewayLiveness {
  /** Grants sent to each gateway that acknowledges grants, since its last message. */
  private readonly unheard = new Map<EntryId, number>();

  /** Records a message from a gateway; returns whether the gateway had reached the limit. */
  record(entryId: EntryId, isGrantAck: boolean): boolean {
    const unheard = this.unheard.get(entryId);
    if (isGrantAck || unheard !== undefined) this.unheard.set(entryId, 0);
    return (unheard ?? 0) >= MAX_UNHEARD_GRANTS;
  }

  /**
   * Counts a grant that is about to be sent; returns false if the gateway has reached the limit.
   */
  mayGrant(entryId: EntryId): boolean {
    const unheard = this.unheard.get(entryId);
    if (unheard === undefined) return true;
    if (unheard >= MAX_UNHEARD_GRANTS) return false;
    this.unheard.set(entryId, unheard + 1);
    return true;
  }

  /** Drops the state of all gateways except these. */
  retain(entryIds: readonly EntryId[]): void {
    const kept = new Set(entryIds);
    this.unheard.forEach((_, entryId) => {
      if (!kept.has(entryId)) this.unheard.delete(entryId);
    });
  }
}
