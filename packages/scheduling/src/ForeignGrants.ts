/**
 * Foreign grants: work on this home's targets that an earlier home granted, as reported by the
 * gateways. Such work occupies slots until its gateway no longer reports it or its lease has
 * expired, so that a new home does not overload its targets.
 */
import { type Clock, type EntryId, type InstanceId } from '@acaciadock/core';
import { type Grant, MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';

/** Accounts for the slots that foreign grants occupy. */
export interface SlotHolder {
  take(grant: Grant): void;
  /** @param heldMs how long the slot was held since the grant was first reported */
  release(grant: Grant, heldMs: number): void;
}

interface ForeignGrant {
  readonly grant: Grant;
  /** Monotonic milliseconds. */
  readonly reportedAtMs: number;
}

export class ForeignGrants {
  private readonly byGateway = new Map<EntryId, Map<string, ForeignGrant>>();

  private readonly countByInstance = new Map<InstanceId, number>();

  constructor(
    private readonly slots: SlotHolder,
    private readonly clock: Clock,
  ) {}

  openOn(instanceId: InstanceId): number {
    return this.countByInstance.get(instanceId) ?? 0;
  }

  instances(): IterableIterator<InstanceId> {
    return this.countByInstance.keys();
  }

  /** Replaces the previous report of a gateway. */
  report(gatewayEntryId: EntryId, grants: readonly Grant[]): void {
    const previous = this.byGateway.get(gatewayEntryId) ?? new Map<string, ForeignGrant>();
    const reportedAtMs = this.clock.monotonicMs();
    const current = new Map(
      grants.map((grant) => [
        grant.grantId,
        previous.get(grant.grantId) ?? { grant, reportedAtMs },
      ]),
    );
    previous.forEach((foreign, grantId) => {
      if (!current.has(grantId)) this.release(foreign);
    });
    current.forEach(({ grant }, grantId) => {
      if (!previous.has(grantId)) this.take(grant);
    });
    if (current.size > 0) this.byGateway.set(gatewayEntryId, current);
    else this.byGateway.delete(gatewayEntryId);
  }

  end(gatewayEntryId: EntryId, grantId: string): void {
    const foreign = this.byGateway.get(gatewayEntryId)?.get(grantId);
    if (!foreign) return;
    this.byGateway.get(gatewayEntryId)?.delete(grantId);
    this.release(foreign);
  }

  /** Ends all grants whose lease has expired. */
  expire(nowMs: number): void {
    this.byGateway.forEach((grants, gatewayEntryId) => {
      grants.forEach(({ grant }) => {
        if (grant.leaseExpiresAtMs + MAX_CLOCK_SKEW_MS > nowMs) return;
        this.end(gatewayEntryId, grant.grantId);
      });
    });
  }

  private take(grant: Grant): void {
    this.countByInstance.set(grant.targetId, this.openOn(grant.targetId) + 1);
    this.slots.take(grant);
  }

  private release({ grant, reportedAtMs }: ForeignGrant): void {
    const count = this.openOn(grant.targetId) - 1;
    if (count > 0) this.countByInstance.set(grant.targetId, count);
    else this.countByInstance.delete(grant.targetId);
    this.slots.release(grant, this.clock.monotonicMs() - reportedAtMs);
  }
}
