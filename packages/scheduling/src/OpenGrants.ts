/**
 * The open grants of a home: those that it issued and that are not known to have ended. Each holds
 * its slot and its credit until the gateway reports its end or its lease has expired, with an
 * allowance for clock skew.
 */
import { type InstanceId, type PoolId } from '@acaciadock/core';
import { type Grant, MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';
import { DeadlineIndex } from './DeadlineIndex.js';
import { type Placement } from './WaitingTicket.js';

export interface OpenGrant {
  readonly grant: Grant;
  readonly placement: Placement;
  readonly poolId: PoolId;
  /** Whether the gateway reported that it does not know whether the work still runs. */
  unknown: boolean;
}

export class OpenGrants {
  private readonly byGrant = new Map<string, OpenGrant>();

  private readonly byTicket = new Map<string, OpenGrant>();

  private readonly countByInstance = new Map<InstanceId, number>();

  private readonly expiries = new DeadlineIndex();

  /** Tickets whose grant has ended, so that a delayed duplicate is not granted again. */
  private readonly endedTickets = new Set<string>();

  private readonly endedTicketExpiries = new DeadlineIndex();

  get size(): number {
    return this.byGrant.size;
  }

  get(grantId: string): OpenGrant | undefined {
    return this.byGrant.get(grantId);
  }

  ofTicket(ticketId: string): OpenGrant | undefined {
    return this.byTicket.get(ticketId);
  }

  hasEnded(ticketId: string): boolean {
    return this.endedTickets.has(ticketId);
  }

  openOn(instanceId: InstanceId): number {
    return this.countByInstance.get(instanceId) ?? 0;
  }

  instances(): IterableIterator<InstanceId> {
    return this.countByInstance.keys();
  }

  add(open: OpenGrant): void {
    const { grantId, ticketId, targetId } = open.grant;
    this.byGrant.set(grantId, open);
    this.byTicket.set(ticketId, open);
    this.countByInstance.set(targetId, this.openOn(targetId) + 1);
    this.expiries.add(grantId, OpenGrants.leaseEndAtMs(open.grant));
  }

  /** Removes a grant; its ticket may be granted again unless `ticketIsDone`. */
  remove(grantId: string, ticketIsDone: boolean): OpenGrant | undefined {
    const open = this.byGrant.get(grantId);
    if (!open) return undefined;
    const { ticketId, targetId } = open.grant;
    this.byGrant.delete(grantId);
    this.byTicket.delete(ticketId);
    this.expiries.remove(grantId, OpenGrants.leaseEndAtMs(open.grant));
    const left = this.openOn(targetId) - 1;
    if (left > 0) this.countByInstance.set(targetId, left);
    else this.countByInstance.delete(targetId);
    if (ticketIsDone) this.recordEnded(open);
    return open;
  }

  /**
   * Returns the ids of the grants whose lease has certainly expired, each id once. The grants stay
   * open until they are removed. Call regularly: this also forgets ended tickets whose duplicates
   * can no longer be granted.
   */
  lapsed(nowMs: number): string[] {
    this.endedTicketExpiries
      .takePast(nowMs)
      .forEach((ticketId) => this.endedTickets.delete(ticketId));
    return this.expiries.takePast(nowMs);
  }

  private recordEnded({ grant, placement }: OpenGrant): void {
    this.endedTickets.add(grant.ticketId);
    const { deadlineAtMs } = placement.waiting.ticket;
    this.endedTicketExpiries.add(
      grant.ticketId,
      Math.max(deadlineAtMs, OpenGrants.leaseEndAtMs(grant)),
    );
  }

  private static leaseEndAtMs(grant: Grant): number {
    return grant.leaseExpiresAtMs + MAX_CLOCK_SKEW_MS;
  }
}
