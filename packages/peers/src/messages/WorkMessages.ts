/** Messages on work that runs: between gateways, homes and the maintenance controller. */
import { idSchema, instanceIdSchema, teamIdSchema } from '@acaciadock/core';
import { z } from 'zod';
import { grantSchema } from './TicketMessages.js';

/**
 * All grants that a gateway holds for the pools of the receiving home and that another home gave.
 * Replaces the report before; an empty one clears it.
 */
export const workReportSchema = z.object({
  kind: z.literal('work-report'),
  grants: z.array(grantSchema),
});

/** The gateway took these grants. Says that it is alive; a grant is open whether or not it comes. */
export const grantsTakenSchema = z.object({
  kind: z.literal('grants-taken'),
  grantIds: z.array(idSchema),
});

/** Open grants on the leaving instances of the pools that the sender is home of. */
export const drainStatusSchema = z.object({
  kind: z.literal('drain-status'),
  instances: z.array(
    z.object({ instanceId: instanceIdSchema, openGrants: z.number().int().min(0) }),
  ),
});

/** Instances closed to new work by the sender's maintenance controller. Lapses unless repeated. */
export const targetsClosedSchema = z.object({
  kind: z.literal('targets-closed'),
  instanceIds: z.array(instanceIdSchema),
});

/** Slot time that teams were given by the sender since its last such message. */
export const teamUsageSchema = z.object({
  kind: z.literal('team-usage'),
  teams: z.array(z.object({ teamId: teamIdSchema, slotMs: z.number().min(0) })),
});

export type WorkReport = z.infer<typeof workReportSchema>;
export type GrantsTaken = z.infer<typeof grantsTakenSchema>;
export type DrainStatus = z.infer<typeof drainStatusSchema>;
export type TargetsClosed = z.infer<typeof targetsClosedSchema>;
export type TeamUsage = z.infer<typeof teamUsageSchema>;
