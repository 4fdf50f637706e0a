/**
 * Records of the configuration stream of the log. The log is the single source of truth: every
 * reader reduces the same records to the same versions.
 */
import { idSchema } from '@acaciadock/core';
import { z } from 'zod';
import { configDocumentSchema } from './ConfigDocument.js';

/** The version of the record format that this program writes, and the newest that it can read. */
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
  /** Chosen by the submitter. A later record with the same id is a repetition of the same patch. */
  patchId: idSchema,
  /** The patch is applied only if this equals the reader's current version. */
  baseVersion: z.int().min(0),
  author: z.string().min(1).max(200),
  submittedAtMs: z.int().min(0),
  operations: z.array(patchOperationSchema).min(1).max(MAX_OPERATIONS),
});

export const refusalKindSchema = z.enum(['stale-base', 'patch-not-applicable', 'document-invalid']);

/** The decision on a patch, made when its record was first read. */
export const patchDecisionSchema = z.union([
  z.strictObject({ patchId: idSchema, version: z.int().min(1) }),
  z.strictObject({ patchId: idSchema, refusal: refusalKindSchema }),
]);

export const snapshotRecordSchema = z.strictObject({
  kind: z.literal('snapshot'),
  schemaVersion: z.literal(1),
  version: z.int().min(0),
  /** Offset of the last record that the snapshot includes. Later records are applied to it. */
  includedOffset: z.int().min(-1),
  document: configDocumentSchema,
  /** The most recent decisions, oldest first, so that a repeated patch is recognised. */
  decisions: z.array(patchDecisionSchema),
});

/** The fields that a record of any format version has. */
export const recordHeaderSchema = z.looseObject({ schemaVersion: z.int(), kind: z.string() });

/**
 * A snapshot whose content is not validated. This is enough for a reader without a gap, which only
 * compares the content with its own document.
 */
const unvalidatedSnapshotSchema = snapshotRecordSchema.extend({
  document: z.unknown(),
  decisions: z.unknown(),
});

/** A record as a reader without a gap parses it. */
export const configRecordSchema = z.discriminatedUnion('kind', [
  patchRecordSchema,
  unvalidatedSnapshotSchema,
]);

export type RefusalKind = z.infer<typeof refusalKindSchema>;
export type PatchDecision = z.infer<typeof patchDecisionSchema>;
export type PatchOperation = z.infer<typeof patchOperationSchema>;
export type PatchRecord = z.infer<typeof patchRecordSchema>;
export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>;
export type UnvalidatedSnapshot = z.infer<typeof unvalidatedSnapshotSchema>;
export type ConfigRecord = z.infer<typeof configRecordSchema>;
