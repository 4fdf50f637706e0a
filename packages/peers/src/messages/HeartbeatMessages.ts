/** Heartbeats between entries: liveness, and how far each one has read the configuration. */
import { idSchema } from '@acaciadock/core';
import { z } from 'zod';

export const heartbeatSchema = z.object({
  kind: z.literal('heartbeat'),
  /** Changes with each start of the process. */
  incarnation: idSchema,
  sentAtMs: z.number().min(0),
  configVersion: z.number().int().min(0),
  configOffset: z.number().int().min(-1),
  /** The entry is stopping: it takes no new tickets and is no home. */
  stopping: z.boolean(),
  /** Whether the entry could reach the log lately. */
  logReachable: z.boolean(),
});

export type Heartbeat = z.infer<typeof heartbeatSchema>;
