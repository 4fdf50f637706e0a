/** What each entry says of itself when an operator asks any of them. */
import { entryIdSchema, idSchema, teamIdSchema, zoneIdSchema } from '@acaciadock/core';
import { z } from 'zod';

const count = z.number().int().min(0);

export const teamStatusSchema = z.object({
  teamId: teamIdSchema,
  /** Credits that the entry may use, in use or free. */
  holding: count,
  running: count,
  /** Credits of members that are gone, not shared out yet, as this entry sees them. */
  stranded: count,
});

export const entryStatusSchema = z.object({
  entryId: entryIdSchema,
  zoneId: zoneIdSchema,
  configVersion: count,
  logReachable: z.boolean(),
  /** Why the entry starts no work now; empty if it does. */
  fenced: z.string().max(64),
  /** Tickets that wait at this entry as a home. */
  waitingTickets: count,
  /** Runs that this entry has granted and that have not ended. */
  openGrants: count,
  /** Callers' requests that this entry holds. */
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
