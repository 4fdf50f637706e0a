/** A ticket that waits for its grant, and the ways it can be settled. */
import { type EntryId } from '@acaciadock/core';
import { type Grant, type Ticket, type TicketRefused } from '@acaciadock/peers';

export interface ReceivedGrant {
  readonly kind: 'granted';
  readonly grant: Grant;
  readonly homeEntryId: EntryId;
  /** The grant's start-by instant on this process's monotonic clock. */
  readonly startByMonotonicMs: number;
}

export type TicketEnd =
  ReceivedGrant | { readonly kind: 'refused'; readonly refusal: TicketRefused };

export interface OpenTicket {
  readonly ticket: Ticket;
  readonly settle: (end: TicketEnd) => void;
  /** Where the ticket was sent to last; undefined while no link took it. */
  homeEntryId: EntryId | undefined;
  /** Homes that gave it back since the homes last changed. */
  refusedBy: EntryId[];
  /** How often it was sent to the present home. */
  tries: number;
}
