/** Which pool each waiting ticket is in, and the tickets whose gateway can't be reached just now. */
import { type PoolId } from '@acaciadock/core';
import { type WaitingTicket } from './WaitingTicket.js';

export class TicketTable {
  private readonly pools = new Map<string, PoolId>();

  private setApart = new Map<string, WaitingTicket>();

  get size(): number {
    return this.pools.size;
  }

  add(ticketId: string, poolId: PoolId): void {
    this.pools.set(ticketId, poolId);
  }

  has(ticketId: string): boolean {
    return this.pools.has(ticketId);
  }

  poolOf(ticketId: string): PoolId | undefined {
    return this.pools.get(ticketId);
  }

  /** Forgets a ticket; returns it if it was set aside. */
  remove(ticketId: string): WaitingTicket | undefined {
    const aside = this.setApart.get(ticketId);
    this.pools.delete(ticketId);
    this.setApart.delete(ticketId);
    return aside;
  }

  waiting(): IterableIterator<string> {
    return this.pools.keys();
  }

  /** Keeps a ticket out of its queue till `takeAside`. */
  setAside(waiting: WaitingTicket): void {
    this.setApart.set(waiting.ticketId, waiting);
  }

  aside(): WaitingTicket[] {
    return [...this.setApart.values()];
  }

  takeAside(): WaitingTicket[] {
    const taken = [...this.setApart.values()];
    this.setApart = new Map();
    return taken;
  }
}
