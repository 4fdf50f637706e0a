/** Heartbeats between entries: liveness, and the log offsets that each entry has read up to. */
import { idSchema } from '@acaciadock/core';
import { z } from 'zod';

export const heartbeatSchema = z.object({
  kind: z.literal('heartbeat'),
  /** Changes with each start of the process. */
  incarnation: idSchema,
  /** The sender's monotonic clock; meaningful only to the sender. */
  sentAtMs: z.number().min(0),
  configVersion: z.number().int().min(0),
  configOffset: z.number().int().min(-1),
  /** The entry is shutting down: it accepts no new tickets and is not a home. */
  stopping: z.boolean(),
  /** Whether the sender was recently able to reach the log. */
  logReachable: z.boolean(),
  /** Offset of the last record that the sender has read from the control stream. */
  controlOffset: z.number().int().min(-1),
  /**
   * `sentAtMs` of the latest heartbeat that the sender has received from the recipient. With this
   * echo the sender supports the recipient's membership for a limited time. Omitted if the recipient
   * has been silent for too long or the sender has recently voted to evict it.
   */
  echoSentAtMs: z.number().min(0).optional(),
  /**
   * Members that the sender votes to evict: they are silent and missing from the platform's list.
   */
  suspects: z.array(idSchema),
});

export type Heartbeat = z.infer<typeof heartbeatSchema>;
