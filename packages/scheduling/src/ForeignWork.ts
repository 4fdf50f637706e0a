/**
 * Work on this home's targets that an earlier home granted, as the gateways report it. It holds
 * slots, so that a new home does not overfill targets, until the gateway no longer reports it or
 * its lease has lapsed.
 */
import { type Clock, type EntryId, type InstanceId } from '@acaciadock/core';
import { type Grant, MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';

/** Who holds the slots of a service's pool. */
export interface SlotHolder {
  take(grant: Grant): void;
  /** @param heldMs how long the slot was held since it was reported */
  release(grant: Grant, heldMs: number): void;
}

interface ForeignGrant {
  readonly grant: Grant;
  /** Monotonic milliseconds. */
  readonly reportedAtMs: number;
}

export class ForeignWork {
  private readonly byGateway = new Map<EntryId, Map<string, ForeignGrant>>();

  private readonly onInstance = new Map<InstanceId, number>();

  constructor(
    private readonly slots: SlotHolder,
    private readonly clock: Clock,
  ) {}

  openOn(instanceId: InstanceId): number {
    return this.onInstance.get(instanceId) ?? 0;
  }

  instances(): IterableIterator<InstanceId> {
    return this.onInstance.keys();
  }

  /** Replaces what a gateway reported before. */
  report(gatewayEntryId: EntryId, grants: readonly Grant[]): void {
    const before = this.byGateway.get(gatewayEntryId) ?? new Map<string, ForeignGrant>();
    const reportedAtMs = this.clock.monotonicMs();
    const now = new Map(
      grants.map((grant) => [grant.grantId, before.get(grant.grantId) ?? { grant, reportedAtMs }]),
    );
    before.forEach((foreign, grantId) => {
      if (!now.has(grantId)) this.release(foreign);
    });
    now.forEach(({ grant }, grantId) => {
      if (!before.has(grantId)) this.take(grant);
    });
    if (now.size > 0) this.byGateway.set(gatewayEntryId, now);
    else this.byGateway.delete(gatewayEntryId);
  }

  end(gatewayEntryId: EntryId, grantId: string): void {
    const foreign = this.byGateway.get(gatewayEntryId)?.get(grantId);
    if (!foreign) return;
    this.byGateway.get(gatewayEntryId)?.delete(grantId);
    this.release(foreign);
  }

  /** Ends what has lapsed, whoever reported it. */
  lapse(nowMs: number): void {
    this.byGateway.forEach((grants, gatewayEntryId) => {
      grants.forEach(({ grant }) => {
        if (grant.leaseExpiresAtMs + MAX_CLOCK_SKEW_MS > nowMs) return;
        this.end(gatewayEntryId, grant.grantId);
      });
    });
  }

  private take(grant: Grant): void {
    this.onInstance.set(grant.targetId, this.openOn(grant.targetId) + 1);
    this.slots.take(grant);
  }

  private release({ grant, reportedAtMs }: ForeignGrant): void {
    const count = this.openOn(grant.targetId) - 1;
    if (count > 0) this.onInstance.set(grant.targetId, count);
    else this.onInstance.delete(grant.targetId);
    this.slots.release(grant, this.clock.monotonicMs() - reportedAtMs);
  }
}
