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
  /**
   * Homes that returned the ticket or refused it because they are fenced or stopping. It is not
   * sent to these; cleared when its home changes or when all homes are excluded.
   */
  excludedHomes: EntryId[];
  /**
   * Number of sends since the ticket last moved because the homes changed. Not to be confused with
   * `Ticket.attempt`, the number of the request's attempt.
   */
  attempts: number;
  /** Number of resends that were scheduled; only the latest one takes effect. */
  resendCount: number;
}

/**
 * A scheduled resend of a ticket. Refers to the ticket by id, so that a request that has ended in
 * the meantime is not kept in memory together with its body.
 */
export interface ScheduledResend {
  readonly ticketId: string;
  /** The `resendCount` of the ticket when this resend was scheduled. */
  readonly plan: number;
}
