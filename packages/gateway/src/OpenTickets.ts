/** Waiting tickets, indexed by id and by service for lookup and removal in constant time. */
import { type ServiceId } from '@acaciadock/core';
import { type OpenTicket } from './OpenTicket.js';

export class OpenTickets {
  private readonly byId = new Map<string, OpenTicket>();

  private readonly byService = new Map<ServiceId, Set<OpenTicket>>();

  get size(): number {
    return this.byId.size;
  }

  add(open: OpenTicket): void {
    const { ticketId, serviceId } = open.ticket;
    this.byId.set(ticketId, open);
    const known = this.byService.get(serviceId);
    if (known) known.add(open);
    else this.byService.set(serviceId, new Set([open]));
  }

  get(ticketId: string): OpenTicket | undefined {
    return this.byId.get(ticketId);
  }

  remove(ticketId: string): OpenTicket | undefined {
    const open = this.byId.get(ticketId);
    if (!open) return undefined;
    this.byId.delete(ticketId);
    const { serviceId } = open.ticket;
    const others = this.byService.get(serviceId);
    others?.delete(open);
    if (others?.size === 0) this.byService.delete(serviceId);
    return open;
  }

  /** Services that have waiting tickets. */
  services(): readonly ServiceId[] {
    return [...this.byService.keys()];
  }

  ofService(serviceId: ServiceId): ReadonlySet<OpenTicket> {
    return this.byService.get(serviceId) ?? new Set();
  }
}
