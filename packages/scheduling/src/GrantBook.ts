/**
 * The grants that a home has given and that are not known to have ended. Each holds its slot and
 * its credit until it is told of the end, or until the lease has lapsed, clock skew included.
 */
import { type InstanceId, type PoolId } from '@acaciadock/core';
import { type Grant, MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';
import { DeadlineIndex } from './DeadlineIndex.js';
import { type Placement } from './WaitingTicket.js';

export interface OpenGrant {
  readonly grant: Grant;
  readonly placement: Placement;
  readonly poolId: PoolId;
  /** The gateway does not know whether the work still runs. */
  unknown: boolean;
}

export class GrantBook {
  private readonly byGrant = new Map<string, OpenGrant>();

  private readonly byTicket = new Map<string, OpenGrant>();

  private readonly onInstance = new Map<InstanceId, number>();

  private readonly lapses = new DeadlineIndex();

  /** Tickets whose grant ended, so that a late copy of one is not granted again. */
  private readonly endedTickets = new Set<string>();

  private readonly endedUntil = new DeadlineIndex();

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
    return this.onInstance.get(instanceId) ?? 0;
  }

  instances(): IterableIterator<InstanceId> {
    return this.onInstance.keys();
  }

  add(open: OpenGrant): void {
    const { grantId, ticketId, targetId } = open.grant;
    this.byGrant.set(grantId, open);
    this.byTicket.set(ticketId, open);
    this.onInstance.set(targetId, this.openOn(targetId) + 1);
    this.lapses.add(grantId, GrantBook.lapsesAtMs(open.grant));
  }

  /** Takes a grant out; its ticket may be granted again unless `ticketIsDone`. */
  remove(grantId: string, ticketIsDone: boolean): OpenGrant | undefined {
    const open = this.byGrant.get(grantId);
    if (!open) return undefined;
    const { ticketId, targetId } = open.grant;
    this.byGrant.delete(grantId);
    this.byTicket.delete(ticketId);
    this.lapses.remove(grantId, GrantBook.lapsesAtMs(open.grant));
    const left = this.openOn(targetId) - 1;
    if (left > 0) this.onInstance.set(targetId, left);
    else this.onInstance.delete(targetId);
    if (ticketIsDone) this.remember(open);
    return open;
  }

  /** Grants whose lease has lapsed for certain. They stay until they are removed. */
  lapsed(nowMs: number): string[] {
    this.endedUntil.takePast(nowMs).forEach((ticketId) => this.endedTickets.delete(ticketId));
    return this.lapses.takePast(nowMs);
  }

  private remember({ grant, placement }: OpenGrant): void {
    this.endedTickets.add(grant.ticketId);
    const { deadlineAtMs } = placement.waiting.ticket;
    this.endedUntil.add(grant.ticketId, Math.max(deadlineAtMs, GrantBook.lapsesAtMs(grant)));
  }

  private static lapsesAtMs(grant: Grant): number {
    return grant.leaseExpiresAtMs + MAX_CLOCK_SKEW_MS;
  }
}
