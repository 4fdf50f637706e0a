/**
 * Messages between a gateway, which holds a caller's request, and the dispatcher at the home of
 * the service, which decides when and where it runs. All timestamps are wall-clock milliseconds
 * since the Unix epoch; the clocks of all entries must be within `MAX_CLOCK_SKEW_MS` of each other.
 */
import {
  entryIdSchema,
  idSchema,
  instanceIdSchema,
  rackIdSchema,
  serviceIdSchema,
  teamIdSchema,
} from '@acaciadock/core';
import { z } from 'zod';

/** Maximum clock difference between any two entries under which the safety guarantees hold. */
export const MAX_CLOCK_SKEW_MS = 500;

const unixMs = z.number().min(0);
const durationMs = z.number().min(0);

/** Asks the home to queue a request. Sent again with the same id when the home changes. */
export const ticketSchema = z.object({
  kind: z.literal('ticket'),
  ticketId: idSchema,
  serviceId: serviceIdSchema,
  teamId: teamIdSchema,
  urgency: z.enum(['urgent', 'background']),
  /** When the gateway accepted the request; the queue age is kept when the home changes. */
  acceptedAtMs: unixMs,
  deadlineAtMs: unixMs,
  idempotent: z.boolean(),
  attempt: z.number().int().min(1),
  /** Targets of failed attempts, to be used again only if no other suitable target is available. */
  avoidTargetIds: z.array(instanceIdSchema),
  /** Racks of those targets; targets outside them are preferred. */
  avoidRackIds: z.array(rackIdSchema),
});

/** The callers of these requests have disconnected, or the gateway has given the requests up. */
export const ticketsCancelledSchema = z.object({
  kind: z.literal('tickets-cancelled'),
  ticketIds: z.array(idSchema),
});

/**
 * Allows one run of the request on one target. A home that receives a ticket again resends its
 * open grant; a gateway ignores a grant whose id it has already seen.
 */
export const grantSchema = z.object({
  kind: z.literal('grant'),
  ticketId: idSchema,
  grantId: idSchema,
  serviceId: serviceIdSchema,
  teamId: teamIdSchema,
  targetId: instanceIdSchema,
  /** The gateway must start sending before this time. */
  startByMs: unixMs,
  /** The target stops the work at this time. */
  leaseExpiresAtMs: unixMs,
  creditUseId: idSchema,
  creditHolderEntryId: entryIdSchema,
  /** `epoch` of the `CreditUse`. */
  creditEpoch: z.number().int().min(0),
});

export const ticketRefusalReasonSchema = z.enum([
  /** The team has too many requests of the service queued, or the home too many tickets in all. */
  'queue-full',
  'deadline-unreachable',
  /** The service or its pool is unknown, or no target has the accelerators that it needs. */
  'no-target-fits',
  'team-limit-zero',
  'fenced',
  'stopping',
  /** The service's retry budget is used up: further retries would add too much load. */
  'retry-budget-spent',
]);

/** The ticket will not be granted; its request did not run. */
export const ticketRefusedSchema = z.object({
  kind: z.literal('ticket-refused'),
  ticketId: idSchema,
  reason: ticketRefusalReasonSchema,
  retryAfterMs: durationMs,
});

export const grantOutcomeSchema = z.enum([
  /** The gateway did not send the request: nothing ran. */
  'not-started',
  'succeeded',
  /** The target answered that the work failed. */
  'failed',
  /** The target reported that it did not run the work: it has no free slot or is leaving. */
  'target-refused',
  /** The gateway could not connect to the target. */
  'unreachable',
  /** The answer was truncated, invalid or late; the work may run until its lease expires. */
  'unknown',
]);

/** Reports to the home how a granted run ended. Resent until the home acknowledges it. */
export const grantEndedSchema = z.object({
  kind: z.literal('grant-ended'),
  grantId: idSchema,
  serviceId: serviceIdSchema,
  teamId: teamIdSchema,
  targetId: instanceIdSchema,
  creditUseId: idSchema,
  creditHolderEntryId: entryIdSchema,
  outcome: grantOutcomeSchema,
  runMs: durationMs,
});

export const grantEndedAckSchema = z.object({
  kind: z.literal('grant-ended-ack'),
  grantIds: z.array(idSchema),
});

/** Sent by a home that is shutting down: the gateway resends these tickets to the next home. */
export const ticketsReturnedSchema = z.object({
  kind: z.literal('tickets-returned'),
  ticketIds: z.array(idSchema),
});

/** Returns the id of the request that a ticket belongs to; ticket ids are `requestId:attempt`. */
export function requestIdOf(ticketId: string): string {
  const end = ticketId.lastIndexOf(':');
  return end < 0 ? ticketId : ticketId.slice(0, end);
}

export type Ticket = z.infer<typeof ticketSchema>;
export type TicketsCancelled = z.infer<typeof ticketsCancelledSchema>;
export type Grant = z.infer<typeof grantSchema>;
export type TicketRefusalReason = z.infer<typeof ticketRefusalReasonSchema>;
export type TicketRefused = z.infer<typeof ticketRefusedSchema>;
export type GrantOutcome = z.infer<typeof grantOutcomeSchema>;
export type GrantEnded = z.infer<typeof grantEndedSchema>;
export type GrantEndedAck = z.infer<typeof grantEndedAckSchema>;
export type TicketsReturned = z.infer<typeof ticketsReturnedSchema>;
