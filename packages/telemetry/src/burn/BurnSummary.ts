/**
 * The record that an entry appends to the burn stream about once a minute: a summary of the requests
 * that ended since its previous summary.
 */
import { entryIdSchema, idSchema, serviceIdSchema, teamIdSchema } from '@acaciadock/core';
import { z } from 'zod';

const count = z.int().min(0);

export const burnCauseSchema = z.object({
  problemType: z.string().max(64),
  teamId: teamIdSchema.optional(),
  targetId: idSchema.optional(),
  zoneId: idSchema.optional(),
  count,
});

export const serviceTallySchema = z.object({
  /** Requests that count towards the availability objective. */
  total: count,
  /** Counted requests that were not answered. */
  bad: count,
  /** Requests that were answered, but later than the latency objective. */
  slow: count,
  /** The most frequent causes of bad requests. */
  causes: z.array(burnCauseSchema),
});

export const teamTallySchema = z.object({
  /** Total time of the team's requests that may have run, without the time in the queue. */
  runMs: z.number().min(0),
  answered: count,
  /** Requests that were not answered for any reason, including failed and cancelled ones. */
  refused: count,
});

export const burnSummarySchema = z.object({
  kind: z.literal('burn-summary'),
  schemaVersion: z.literal(1),
  entryId: entryIdSchema,
  incarnation: idSchema,
  /** Increases by one with each summary of an incarnation, so that readers can drop duplicates. */
  sequence: count,
  /**
   * Start of the wall-clock minute in which the summary was made, in milliseconds since the Unix
   * epoch. Its requests may have ended in the minute before.
   */
  minuteStartMs: count,
  services: z.record(serviceIdSchema, serviceTallySchema),
  teams: z.record(teamIdSchema, teamTallySchema),
});

export type BurnCause = z.infer<typeof burnCauseSchema>;
export type ServiceTally = z.infer<typeof serviceTallySchema>;
export type TeamTally = z.infer<typeof teamTallySchema>;
export type BurnSummary = z.infer<typeof burnSummarySchema>;
