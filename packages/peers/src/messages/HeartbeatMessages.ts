/** Heartbeats between entries: liveness, and how far each one has read the configuration. */
import { idSchema } from '@acaciadock/core';
import { z } from 'zod';

export const heartbeatSchema = z.object({
  kind: z.literal('heartbeat'),
  /** Changes with each start of the process. */
  incarnation: idSchema,
  /** The sender's monotonic clock. Only the sender can compare it with another instant. */
  sentAtMs: z.number().min(0),
  configVersion: z.number().int().min(0),
  configOffset: z.number().int().min(-1),
  /** The entry is stopping: it takes no new tickets and is no home. */
  stopping: z.boolean(),
  /** Whether the entry could reach the log lately. */
  logReachable: z.boolean(),
  /** Offset of the last record that the sender has read of the control stream. */
  controlOffset: z.number().int().min(-1),
  /**
   * `sentAtMs` of the recipient's latest heartbeat that the sender has had: the sender stands by
   * the recipient. Left out while it does not.
   */
  echoSentAtMs: z.number().min(0).optional(),
  /** Members that the sender holds for gone: silent and off the platform's list. */
  suspects: z.array(idSchema),
});

export type Heartbeat = z.infer<typeof heartbeatSchema>;
