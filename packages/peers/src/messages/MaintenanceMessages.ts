/**
 * Messages with which the maintenance controller queries all entries before it stops an instance:
 * what each gateway has running there, and which configuration version it has read.
 */
import { idSchema, instanceIdSchema, serviceIdSchema } from '@acaciadock/core';
import { z } from 'zod';

export const workQuerySchema = z.object({
  kind: z.literal('work-query'),
  queryId: idSchema,
  instanceIds: z.array(instanceIdSchema),
});

/** Instances and services that are not listed have nothing running. */
export const workReplySchema = z.object({
  kind: z.literal('work-reply'),
  queryId: idSchema,
  configVersion: z.number().int().min(0),
  openRuns: z.array(z.object({ instanceId: instanceIdSchema, count: z.number().int().min(1) })),
  runningByService: z.array(
    z.object({ serviceId: serviceIdSchema, count: z.number().int().min(1) }),
  ),
});

export type WorkQuery = z.infer<typeof workQuerySchema>;
export type WorkReply = z.infer<typeof workReplySchema>;
