/** A ticket as its home keeps it, from its arrival until the end of its run. */
import { type CreditUse, type EntryId, type TargetId } from '@acaciadock/core';
import { type Ticket, type TicketRefusalReason } from '@acaciadock/peers';
import { type QueueItem } from './QueueDiscipline.js';

export interface WaitingTicket extends QueueItem {
  readonly ticket: Ticket;
  readonly gatewayEntryId: EntryId;
}

/** A ticket that was given a slot and a credit. */
export interface Placement {
  readonly waiting: WaitingTicket;
  readonly targetId: TargetId;
  readonly creditUse: CreditUse;
  /** Slot time that the team was charged when the run started. */
  readonly chargedMs: number;
  /** Monotonic milliseconds. */
  readonly startedAtMs: number;
}

export interface Refusal {
  readonly reason: TicketRefusalReason;
  readonly retryAfterMs: number;
}

export function waitingTicketOf(ticket: Ticket, gatewayEntryId: EntryId): WaitingTicket {
  const { ticketId, serviceId, teamId, urgency, acceptedAtMs } = ticket;
  return { ticketId, serviceId, teamId, urgency, acceptedAtMs, ticket, gatewayEntryId };
}
