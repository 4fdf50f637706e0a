/** The record that an entry appends to the burn stream: what it saw in one minute. */
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
  /** Requests that count for the availability objective. */
  total: count,
  /** Of these, the ones that were not answered. */
  bad: count,
  /** Answered later than the latency objective. */
  slow: count,
  /** The most frequent reasons of bad requests. */
  causes: z.array(burnCauseSchema),
});

export const teamTallySchema = z.object({
  /** Time that the team's requests ran, summed over requests. */
  runMs: z.number().min(0),
  answered: count,
  refused: count,
});

export const burnSummarySchema = z.object({
  kind: z.literal('burn-summary'),
  schemaVersion: z.literal(1),
  entryId: entryIdSchema,
  incarnation: idSchema,
  /** Counts up by one for each summary of an incarnation; a repeat is dropped by readers. */
  sequence: count,
  /** Start of the minute, milliseconds since the Unix epoch. */
  minuteStartMs: count,
  services: z.record(serviceIdSchema, serviceTallySchema),
  teams: z.record(teamIdSchema, teamTallySchema),
});

export type BurnCause = z.infer<typeof burnCauseSchema>;
export type ServiceTally = z.infer<typeof serviceTallySchema>;
export type TeamTally = z.infer<typeof teamTallySchema>;
export type BurnSummary = z.infer<typeof burnSummarySchema>;
