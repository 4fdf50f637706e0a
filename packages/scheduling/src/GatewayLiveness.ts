/**
 * Limits the grants sent to a gateway that has stopped responding. A grant sent to a dead gateway
 * holds its slot until its lease expires, so a dead gateway with many tickets would soon hold all
 * slots. Gateways acknowledge grants at once (`grants-taken`), and a gateway gets at most
 * `MAX_GRANTS_WITHOUT_MESSAGE` grants until its next message of any kind. The limit does not apply
 * to a gateway that has never acknowledged a grant.
 */
import { type EntryId } from '@acaciadock/core';

const MAX_GRANTS_WITHOUT_MESSAGE = 16;

export class GatewayLiveness {
  /** Grants sent to each gateway that acknowledges grants, since its last message. */
  private readonly grantsSinceMessage = new Map<EntryId, number>();

  /** Records a message from a gateway; returns whether the gateway had reached the limit. */
  record(entryId: EntryId, isGrantAck: boolean): boolean {
    const grantsSinceMessage = this.grantsSinceMessage.get(entryId);
    if (isGrantAck || grantsSinceMessage !== undefined) this.grantsSinceMessage.set(entryId, 0);
    return (grantsSinceMessage ?? 0) >= MAX_GRANTS_WITHOUT_MESSAGE;
  }

  /**
   * Counts a grant that is about to be sent; returns false if the gateway has reached the limit.
   */
  mayGrant(entryId: EntryId): boolean {
    const grantsSinceMessage = this.grantsSinceMessage.get(entryId);
    if (grantsSinceMessage === undefined) return true;
    if (grantsSinceMessage >= MAX_GRANTS_WITHOUT_MESSAGE) return false;
    this.grantsSinceMessage.set(entryId, grantsSinceMessage + 1);
    return true;
  }

  /** Drops the state of all gateways except these. */
  retain(entryIds: readonly EntryId[]): void {
    const kept = new Set(entryIds);
    this.grantsSinceMessage.forEach((_, entryId) => {
      if (!kept.has(entryId)) this.grantsSinceMessage.delete(entryId);
    });
  }
}
