/**
 * Messages between a gateway, which holds a caller's request, and the dispatcher at the home of
 * the service, which decides when and where it runs. All instants are wall-clock milliseconds
 * since the Unix epoch; entries keep their clocks within `MAX_CLOCK_SKEW_MS` of each other.
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

/** Largest difference between the clocks of any two entries that the promises rest on. */
export const MAX_CLOCK_SKEW_MS = 500;

const unixMs = z.number().min(0);
const durationMs = z.number().min(0);

/** Asks the home to queue a request. Sent again, with the same id, to the next home. */
export const ticketSchema = z.object({
  kind: z.literal('ticket'),
  ticketId: idSchema,
  serviceId: serviceIdSchema,
  teamId: teamIdSchema,
  urgency: z.enum(['urgent', 'background']),
  /** When the gateway accepted the request; queue age survives a change of home. */
  acceptedAtMs: unixMs,
  deadlineAtMs: unixMs,
  idempotent: z.boolean(),
  attempt: z.number().int().min(1),
  avoidTargetIds: z.array(instanceIdSchema),
  avoidRackIds: z.array(rackIdSchema),
});

/** The callers of these requests are gone, or the gateway gave them up. */
export const ticketsCancelledSchema = z.object({
  kind: z.literal('tickets-cancelled'),
  ticketIds: z.array(idSchema),
});

/**
 * Allows one run of the request on one target. A home that gets a ticket again sends its open
 * grant again: a gateway that has seen the grant's id ignores it.
 */
export const grantSchema = z.object({
  kind: z.literal('grant'),
  ticketId: idSchema,
  grantId: idSchema,
  serviceId: serviceIdSchema,
  teamId: teamIdSchema,
  targetId: instanceIdSchema,
  /** The send must begin before this instant. */
  startByMs: unixMs,
  /** The target stops the work at this instant. */
  leaseExpiresAtMs: unixMs,
  creditUseId: idSchema,
  creditHolderEntryId: entryIdSchema,
  creditEpoch: z.number().int().min(0),
});

export const ticketRefusalReasonSchema = z.enum([
  'queue-full',
  'deadline-unreachable',
  'no-target-fits',
  'team-limit-zero',
  'fenced',
  'stopping',
  /** The service's retries would add too much to its load. */
  'retry-budget-spent',
]);

/** The request will not be granted: it did not run. */
export const ticketRefusedSchema = z.object({
  kind: z.literal('ticket-refused'),
  ticketId: idSchema,
  reason: ticketRefusalReasonSchema,
  retryAfterMs: durationMs,
});

export const grantOutcomeSchema = z.enum([
  /** The gateway did not send: nothing ran. */
  'not-started',
  'succeeded',
  /** The target answered that the work failed. */
  'failed',
  /** The target said that it did not run the work, for lack of a slot or because it leaves. */
  'target-refused',
  /** No connection to the target could be made. */
  'unreachable',
  /** The answer was cut, wrong or late; the work may still run until its lease lapses. */
  'unknown',
]);

/** Tells the home how a granted run ended. Repeated until the home has acknowledged it. */
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

/** A home that stops: the gateway sends its waiting tickets to the next home. */
export const ticketsReturnedSchema = z.object({
  kind: z.literal('tickets-returned'),
  ticketIds: z.array(idSchema),
});

/** The request that a ticket is an attempt of; a ticket's id is `requestId:attempt`. */
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
