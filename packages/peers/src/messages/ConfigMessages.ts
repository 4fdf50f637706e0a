/** Relay of configuration between entries, for readers that the log does not answer. */
import { z } from 'zod';

/** Asks a peer for the records after an offset. */
export const configPullSchema = z.object({
  kind: z.literal('config-pull'),
  afterOffset: z.number().int().min(-1),
});

/** Records as read from the log, in order; or a snapshot first where the asked ones are gone. */
export const configRecordsSchema = z.object({
  kind: z.literal('config-records'),
  records: z.array(z.object({ offset: z.number().int().min(0), payload: z.unknown() })),
});

export type ConfigPull = z.infer<typeof configPullSchema>;
export type ConfigRecords = z.infer<typeof configRecordsSchema>;
