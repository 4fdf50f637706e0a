/** Which pool each waiting ticket is in, and the tickets whose gateway can't be reached just now. */
import { type PoolId } from '@acaciadock/core';
import { type WaitingTicket } from './WaitingTicket.js';

export class TicketTable {
  private readonly pools = new Map<string, PoolId>();

  private aside = new Map<string, WaitingTicket>();

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
    const aside = this.aside.get(ticketId);
    this.pools.delete(ticketId);
    this.aside.delete(ticketId);
    return aside;
  }

  waiting(): IterableIterator<string> {
    return this.pools.keys();
  }

  /** Keeps a ticket out of its queue till `takeAside`. */
  setAside(waiting: WaitingTicket): void {
    this.aside.set(waiting.ticketId, waiting);
  }

  takeAside(): WaitingTicket[] {
    const taken = [...this.aside.values()];
    this.aside = new Map();
    return taken;
  }
}
