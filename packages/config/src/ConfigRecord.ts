/**
 * Records of the configuration stream of the log. The log is the only authority: every reader
 * reduces the same records to the same versions.
 */
import { idSchema } from '@acaciadock/core';
import { z } from 'zod';
import { configDocumentSchema } from './ConfigDocument.js';

/** The version of the record format that this program writes, and the newest that it reads. */
export const RECORD_SCHEMA_VERSION = 1;
const MAX_OPERATIONS = 5_000;
const pointer = z
  .string()
  .max(2_000)
  .regex(/^(\/.*)?$/);

/** One operation of JSON Patch (RFC 6902). */
export const patchOperationSchema = z.discriminatedUnion('op', [
  z.strictObject({ op: z.literal('add'), path: pointer, value: z.unknown() }),
  z.strictObject({ op: z.literal('replace'), path: pointer, value: z.unknown() }),
  z.strictObject({ op: z.literal('test'), path: pointer, value: z.unknown() }),
  z.strictObject({ op: z.literal('remove'), path: pointer }),
  z.strictObject({ op: z.literal('move'), from: pointer, path: pointer }),
  z.strictObject({ op: z.literal('copy'), from: pointer, path: pointer }),
]);

export const patchRecordSchema = z.strictObject({
  kind: z.literal('patch'),
  schemaVersion: z.literal(1),
  /** Made once by the submitter. A record with an id seen before is the same patch. */
  patchId: idSchema,
  /** Applied if and only if this is the reader's version. */
  baseVersion: z.int().min(0),
  author: z.string().min(1).max(200),
  submittedAtMs: z.int().min(0),
  operations: z.array(patchOperationSchema).min(1).max(MAX_OPERATIONS),
});

export const refusalKindSchema = z.enum(['stale-base', 'patch-not-applicable', 'document-invalid']);

/** How a patch was decided when its record was first read. */
export const patchDecisionSchema = z.union([
  z.strictObject({ patchId: idSchema, version: z.int().min(1) }),
  z.strictObject({ patchId: idSchema, refusal: refusalKindSchema }),
]);

export const snapshotRecordSchema = z.strictObject({
  kind: z.literal('snapshot'),
  schemaVersion: z.literal(1),
  version: z.int().min(0),
  /** Offset of the last record that the snapshot includes. Later ones come on top of it. */
  includedOffset: z.int().min(-1),
  document: configDocumentSchema,
  /** The latest decisions, oldest first, so that a repeated patch is known again. */
  decisions: z.array(patchDecisionSchema),
});

/** What every record begins with, whatever its format. */
export const recordHeadSchema = z.looseObject({ schemaVersion: z.int(), kind: z.string() });

/** A snapshot as a reader needs it that only compares: its content is not checked by itself. */
const comparedSnapshotSchema = snapshotRecordSchema.extend({
  document: z.unknown(),
  decisions: z.unknown(),
});

/** A record as a reader without a gap reads it. */
export const configRecordSchema = z.discriminatedUnion('kind', [
  patchRecordSchema,
  comparedSnapshotSchema,
]);

export type RefusalKind = z.infer<typeof refusalKindSchema>;
export type PatchDecision = z.infer<typeof patchDecisionSchema>;
export type PatchOperation = z.infer<typeof patchOperationSchema>;
export type PatchRecord = z.infer<typeof patchRecordSchema>;
export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>;
export type ComparedSnapshot = z.infer<typeof comparedSnapshotSchema>;
export type ConfigRecord = z.infer<typeof configRecordSchema>;
