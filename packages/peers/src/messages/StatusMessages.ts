/** Status messages, with which one entry collects the status of all for an operator's request. */
import { entryIdSchema, idSchema, teamIdSchema, zoneIdSchema } from '@acaciadock/core';
import { z } from 'zod';

const count = z.number().int().min(0);

export const teamStatusSchema = z.object({
  teamId: teamIdSchema,
  /** Credits that the entry may use, in use or free. */
  holding: count,
  running: count,
  /** Credits of closed members that have not been redistributed yet, as known to this entry. */
  stranded: count,
});

export const entryStatusSchema = z.object({
  entryId: entryIdSchema,
  zoneId: zoneIdSchema,
  configVersion: count,
  logReachable: z.boolean(),
  /** Why the entry may not start work now; empty if it may. */
  fenced: z.string().max(64),
  /** Tickets queued at this entry as a home. */
  waitingTickets: count,
  /** Runs granted by this entry that have not ended. */
  openGrants: count,
  /** Callers' requests in flight at this entry. */
  requestsInFlight: count,
  residentBytes: count,
  teams: z.array(teamStatusSchema),
});

export const statusQuerySchema = z.object({ kind: z.literal('status-query'), queryId: idSchema });

export const statusReplySchema = z.object({
  kind: z.literal('status-reply'),
  queryId: idSchema,
  status: entryStatusSchema,
});

export type TeamStatus = z.infer<typeof teamStatusSchema>;
export type EntryStatus = z.infer<typeof entryStatusSchema>;
export type StatusQuery = z.infer<typeof statusQuerySchema>;
export type StatusReply = z.infer<typeof statusReplySchema>;
