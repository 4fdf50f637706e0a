/**
 * Credits on their way between members. A transfer names the running total that its sender has
 * given the recipient since both are members, never an amount: a message that is lost, doubled,
 * late or out of order can then only be behind, and the largest total seen is the right one.
 */
import { idSchema, teamIdSchema } from '@acaciadock/core';
import { z } from 'zod';

const credits = z.number().int().min(0);

const creditTotalSchema = z.object({ teamId: teamIdSchema, total: credits });

/** Asks for credits of teams that have more queued at the sender than it may start. */
export const creditDemandSchema = z.object({
  kind: z.literal('credit-demand'),
  memberId: idSchema,
  wants: z.array(
    z.object({
      teamId: teamIdSchema,
      /** How many the sender asks of this recipient. */
      count: credits,
      /** What the sender holds, in use or free. */
      holding: credits,
      /** What the sender could use at once: running and queued. */
      need: credits,
    }),
  ),
});

export const creditTransferSchema = z.object({
  kind: z.literal('credit-transfer'),
  memberId: idSchema,
  toMemberId: idSchema,
  totals: z.array(creditTotalSchema),
});

/** Totals that the sender has taken over. Repeating a transfer below them has no effect. */
export const creditReceiptSchema = z.object({
  kind: z.literal('credit-receipt'),
  memberId: idSchema,
  toMemberId: idSchema,
  totals: z.array(creditTotalSchema),
});

export type CreditTotal = z.infer<typeof creditTotalSchema>;
export type CreditDemand = z.infer<typeof creditDemandSchema>;
export type CreditTransfer = z.infer<typeof creditTransferSchema>;
export type CreditReceipt = z.infer<typeof creditReceiptSchema>;
