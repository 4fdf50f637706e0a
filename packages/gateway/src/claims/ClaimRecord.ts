/**
 * Records of the claims stream. A record holds a batch, in which releases are applied before
 * claims. The first claim of a key holds it until its holder releases it, which happens only if
 * the work has not run.
 */
import { entryIdSchema, idSchema } from '@acaciadock/core';
import { z } from 'zod';

const MAX_CLAIMS_PER_RECORD = 2_000;
const digest = z.string().regex(/^[A-Za-z0-9_-]{22}$/);

export const claimSchema = z.object({
  claimId: idSchema,
  /** Digest of the team and the caller's idempotency key. */
  keyHash: digest,
  /** Digest of the service, the time at which the caller first sent the request, and the body. */
  fingerprint: digest,
});

export const claimReleaseSchema = z.object({ claimId: idSchema, keyHash: digest });

export const claimRecordSchema = z.object({
  kind: z.literal('claims'),
  schemaVersion: z.literal(1),
  entryId: entryIdSchema,
  releases: z.array(claimReleaseSchema).max(MAX_CLAIMS_PER_RECORD),
  claims: z.array(claimSchema).max(MAX_CLAIMS_PER_RECORD),
});

export type Claim = z.infer<typeof claimSchema>;
export type ClaimRelease = z.infer<typeof claimReleaseSchema>;
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
