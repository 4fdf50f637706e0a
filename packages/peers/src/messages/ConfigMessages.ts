/** Relay of configuration between entries, for readers that the log does not answer. */
import { z } from 'zod';

/** Asks a peer for the records after an offset. */
export const configPullSchema = z.object({
  kind: z.literal('config-pull'),
  afterOffset: z.number().int().min(-1),
});

const relayedRecordSchema = z.object({
  offset: z.number().int().min(0),
  payload: z.unknown(),
  /** The record is a snapshot, which changes nothing for a reader up to here: it is left out. */
  leftOut: z.boolean().optional(),
});

/** Records as read from the log, in order; on top of a snapshot where the asked ones are gone. */
export const configRecordsSchema = z.object({
  kind: z.literal('config-records'),
  snapshot: z.unknown().optional(),
  records: z.array(relayedRecordSchema),
});

export type RelayedRecord = z.infer<typeof relayedRecordSchema>;
export type ConfigPull = z.infer<typeof configPullSchema>;
export type ConfigRecords = z.infer<typeof configRecordsSchema>;
