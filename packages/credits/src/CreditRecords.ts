/**
 * Schemas of the credit records on the control stream. Every reader that reduces these records in
 * order arrives at the same credit book. The records are idempotent. A record that takes credits
 * away from a member is written only by that member, after it has reserved those credits.
 */
import { idSchema, teamIdSchema } from '@acaciadock/core';
import { rosterSnapshotSchema } from '@acaciadock/membership';
import { z } from 'zod';

const credits = z.number().int().min(0);

/** Team limits in a given configuration version that differ from those in the credit book. */
export const limitsRecordSchema = z.object({
  kind: z.literal('credit-limits'),
  configVersion: z.number().int().min(0),
  limits: z.array(z.object({ teamId: teamIdSchema, limit: credits })),
});

/** Credits that a member gives up because a team's limit was lowered. */
export const burnRecordSchema = z.object({
  kind: z.literal('credit-burn'),
  memberId: idSchema,
  /** Numbers the member's burn records from 1. A record out of sequence has no effect. */
  sequence: z.number().int().min(1),
  burns: z.array(z.object({ teamId: teamIdSchema, credits })),
});

/** A member's final balance with another member that has left, was evicted or was superseded. */
export const balanceRecordSchema = z.object({
  kind: z.literal('credit-balance'),
  memberId: idSchema,
  closedMemberId: idSchema,
  /** Credits received from the closed member minus credits sent to it; zeros are omitted. */
  balances: z.array(z.object({ teamId: teamIdSchema, net: z.number().int() })),
});

export const creditRecordSchema = z.discriminatedUnion('kind', [
  limitsRecordSchema,
  burnRecordSchema,
  balanceRecordSchema,
]);

const grantedSchema = z.object({ memberId: idSchema, credits: z.number().int() });

export const creditSnapshotSchema = z.object({
  teams: z.array(
    z.object({
      teamId: teamIdSchema,
      limit: credits,
      limitVersion: z.number().int(),
      debt: credits,
      unassigned: credits,
      granted: z.array(grantedSchema),
    }),
  ),
  closing: z.array(
    z.object({
      memberId: idSchema,
      closedOffset: z.number().int(),
      balancedBy: z.array(idSchema),
    }),
  ),
  burnSequences: z.array(z.object({ memberId: idSchema, sequence: z.number().int() })),
  roster: rosterSnapshotSchema,
});

export type LimitsRecord = z.infer<typeof limitsRecordSchema>;
export type BurnRecord = z.infer<typeof burnRecordSchema>;
export type BalanceRecord = z.infer<typeof balanceRecordSchema>;
export type CreditRecord = z.infer<typeof creditRecordSchema>;
export type CreditSnapshot = z.infer<typeof creditSnapshotSchema>;
