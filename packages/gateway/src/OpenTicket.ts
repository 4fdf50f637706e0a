/** A ticket that waits for a grant, and the ways in which it can be settled. */
import { type EntryId } from '@acaciadock/core';
import { type Grant, type Ticket, type TicketRefused } from '@acaciadock/peers';

export interface ReceivedGrant {
  readonly kind: 'granted';
  readonly grant: Grant;
  readonly homeEntryId: EntryId;
  /** The `startByMs` of the grant, converted to the monotonic clock of this process. */
  readonly startByMonotonicMs: number;
}

export type TicketEnd =
  ReceivedGrant | { readonly kind: 'refused'; readonly refusal: TicketRefused };

export interface OpenTicket {
  readonly ticket: Ticket;
  readonly settle: (end: TicketEnd) => void;
  /** The home to which the ticket was last sent; undefined if the last send failed. */
  homeEntryId: EntryId | undefined;
  /** Homes that returned the ticket; cleared when its home changes or when all have returned it. */
  refusedBy: EntryId[];
  /** Number of sends since the ticket last moved because the homes changed. */
  attempts: number;
  /** Number of resends that were scheduled; only the latest one takes effect. */
  planCount: number;
}

/**
 * A scheduled resend of a ticket. Refers to the ticket by id, so that a request that has ended in
 * the meantime is not kept in memory together with its body.
 */
export interface ResendPlan {
  readonly ticketId: string;
  readonly plan: number;
}
