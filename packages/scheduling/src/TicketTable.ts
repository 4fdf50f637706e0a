/**
 * Maps each waiting ticket to its pool, and keeps the tickets that are suspended because no grant
 * can be sent to their gateway at present: it is unreachable, or it has stopped responding.
 */
import { type PoolId } from '@acaciadock/core';
import { type WaitingTicket } from './WaitingTicket.js';

export class TicketTable {
  private readonly pools = new Map<string, PoolId>();

  private suspendedById = new Map<string, WaitingTicket>();

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

  /** Removes a ticket; returns it if it was suspended. */
  remove(ticketId: string): WaitingTicket | undefined {
    const suspended = this.suspendedById.get(ticketId);
    this.pools.delete(ticketId);
    this.suspendedById.delete(ticketId);
    return suspended;
  }

  waiting(): IterableIterator<string> {
    return this.pools.keys();
  }

  /** Keeps a ticket out of its queue until `takeSuspended`. */
  suspend(waiting: WaitingTicket): void {
    this.suspendedById.set(waiting.ticketId, waiting);
  }

  suspended(): WaitingTicket[] {
    return [...this.suspendedById.values()];
  }

  takeSuspended(): WaitingTicket[] {
    const taken = [...this.suspendedById.values()];
    this.suspendedById = new Map();
    return taken;
  }
}
