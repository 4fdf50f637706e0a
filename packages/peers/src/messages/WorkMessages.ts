/** Messages about running work, between gateways, homes and the maintenance controller. */
import { idSchema, instanceIdSchema, teamIdSchema } from '@acaciadock/core';
import { z } from 'zod';
import { grantSchema } from './TicketMessages.js';

/**
 * All grants that a gateway holds for the receiving home's pools and that another home issued.
 * Replaces the previous report; an empty report clears it.
 */
export const workReportSchema = z.object({
  kind: z.literal('work-report'),
  grants: z.array(grantSchema),
});

/**
 * The gateway has received these grants. The home uses the message only to detect that a gateway has
 * stopped responding: a grant is open whether or not this message arrives.
 */
export const grantsTakenSchema = z.object({
  kind: z.literal('grants-taken'),
  grantIds: z.array(idSchema),
});

/**
 * Open grants on the leaving instances of the pools for which the sender is the home. An instance is
 * leaving if it gets no new grants because of its intent, the platform or maintenance.
 */
export const drainStatusSchema = z.object({
  kind: z.literal('drain-status'),
  instances: z.array(
    z.object({ instanceId: instanceIdSchema, openGrants: z.number().int().min(0) }),
  ),
});

/** Instances closed to new work by the sender's maintenance controller. Expires unless repeated. */
export const targetsClosedSchema = z.object({
  kind: z.literal('targets-closed'),
  instanceIds: z.array(instanceIdSchema),
});

/** Slot time that the sender has allocated to each team since its previous message of this kind. */
export const teamUsageSchema = z.object({
  kind: z.literal('team-usage'),
  teams: z.array(z.object({ teamId: teamIdSchema, slotMs: z.number().min(0) })),
});

export type WorkReport = z.infer<typeof workReportSchema>;
export type GrantsTaken = z.infer<typeof grantsTakenSchema>;
export type DrainStatus = z.infer<typeof drainStatusSchema>;
export type TargetsClosed = z.infer<typeof targetsClosedSchema>;
export type TeamUsage = z.infer<typeof teamUsageSchema>;
