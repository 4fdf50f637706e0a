/**
 * Records of the control stream by which every reader reduces the same book of credits. Each is
 * harmless twice, and each that takes credits away from a member is written by that member, which
 * has put them aside before.
 */
import { idSchema, teamIdSchema } from '@acaciadock/core';
import { rosterSnapshotSchema } from '@acaciadock/membership';
import { z } from 'zod';

const credits = z.number().int().min(0);

/** Limits that differ from the book's, as of a version of the configuration. */
export const limitsRecordSchema = z.object({
  kind: z.literal('credit-limits'),
  configVersion: z.number().int().min(0),
  limits: z.array(z.object({ teamId: teamIdSchema, limit: credits })),
});

/** Credits that a member gives up because a limit was lowered. */
export const burnRecordSchema = z.object({
  kind: z.literal('credit-burn'),
  memberId: idSchema,
  /** Counts the member's burns from 1; a record that is not the next one has no effect. */
  sequence: z.number().int().min(1),
  burns: z.array(z.object({ teamId: teamIdSchema, credits })),
});

/** The member's final balance with a member that the roster has closed. */
export const balanceRecordSchema = z.object({
  kind: z.literal('credit-balance'),
  memberId: idSchema,
  closedMemberId: idSchema,
  /** Received from the closed member less sent to it, where that is not zero. */
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
