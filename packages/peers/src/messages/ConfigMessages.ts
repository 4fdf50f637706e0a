/**
 * Messages that relay configuration records between entries while the log is unreachable or does not
 * deliver them in time.
 */
import { z } from 'zod';

/** Requests the records after an offset from a peer. */
export const configPullSchema = z.object({
  kind: z.literal('config-pull'),
  afterOffset: z.number().int().min(-1),
});

const relayedRecordSchema = z.object({
  offset: z.number().int().min(0),
  payload: z.unknown(),
  /** Whether the payload is omitted: a snapshot, redundant for a reader that is up to date. */
  leftOut: z.boolean().optional(),
});

/**
 * Records as read from the log, in order. If some of the requested records are no longer available,
 * a snapshot comes first and the records follow it.
 */
export const configRecordsSchema = z.object({
  kind: z.literal('config-records'),
  snapshot: z.unknown().optional(),
  records: z.array(relayedRecordSchema),
});

export type RelayedRecord = z.infer<typeof relayedRecordSchema>;
export type ConfigPull = z.infer<typeof configPullSchema>;
export type ConfigRecords = z.infer<typeof configRecordsSchema>;
