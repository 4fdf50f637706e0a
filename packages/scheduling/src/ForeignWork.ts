/**
 * Work on this home's targets that an earlier home granted, as the gateways report it. It holds
 * slots, so that a new home does not overfill targets, until the gateway no longer reports it or
 * its lease has lapsed.
 */
import { type EntryId, type InstanceId, type ServiceId, type TargetId } from '@acaciadock/core';
import { type Grant, MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';

export interface SlotHolder {
  take(serviceId: ServiceId, targetId: TargetId): void;
  release(serviceId: ServiceId, targetId: TargetId): void;
}

export class ForeignWork {
  private readonly byGateway = new Map<EntryId, Map<string, Grant>>();

  private readonly onInstance = new Map<InstanceId, number>();

  constructor(private readonly slots: SlotHolder) {}

  openOn(instanceId: InstanceId): number {
    return this.onInstance.get(instanceId) ?? 0;
  }

  instances(): IterableIterator<InstanceId> {
    return this.onInstance.keys();
  }

  /** Replaces what a gateway reported before. */
  report(gatewayEntryId: EntryId, grants: readonly Grant[]): void {
    const before = this.byGateway.get(gatewayEntryId) ?? new Map<string, Grant>();
    const now = new Map(grants.map((grant) => [grant.grantId, grant]));
    before.forEach((grant, grantId) => {
      if (!now.has(grantId)) this.count(grant, -1);
    });
    now.forEach((grant, grantId) => {
      if (!before.has(grantId)) this.count(grant, 1);
    });
    if (now.size > 0) this.byGateway.set(gatewayEntryId, now);
    else this.byGateway.delete(gatewayEntryId);
  }

  end(gatewayEntryId: EntryId, grantId: string): void {
    const grant = this.byGateway.get(gatewayEntryId)?.get(grantId);
    if (!grant) return;
    this.byGateway.get(gatewayEntryId)?.delete(grantId);
    this.count(grant, -1);
  }

  /** Ends what has lapsed, whoever reported it. */
  lapse(nowMs: number): void {
    this.byGateway.forEach((grants, gatewayEntryId) => {
      grants.forEach((grant) => {
        if (grant.leaseExpiresAtMs + MAX_CLOCK_SKEW_MS > nowMs) return;
        this.end(gatewayEntryId, grant.grantId);
      });
    });
  }

  private count({ serviceId, targetId }: Grant, change: 1 | -1): void {
    const count = this.openOn(targetId) + change;
    if (count > 0) this.onInstance.set(targetId, count);
    else this.onInstance.delete(targetId);
    if (change > 0) this.slots.take(serviceId, targetId);
    else this.slots.release(serviceId, targetId);
  }
}
