/**
 * Messages that request and transfer credits between members. A transfer carries the cumulative
 * total that the sender has given to the recipient since both became members, not an amount. Lost,
 * duplicated, delayed or reordered messages are therefore harmless: the largest total received is
 * the correct one.
 */
import { idSchema, teamIdSchema } from '@acaciadock/core';
import { z } from 'zod';

const credits = z.number().int().min(0);

const creditTotalSchema = z.object({ teamId: teamIdSchema, total: credits });

/** Requests credits for teams with more requests queued at the sender than it may start. */
export const creditDemandSchema = z.object({
  kind: z.literal('credit-demand'),
  memberId: idSchema,
  wants: z.array(
    z.object({
      teamId: teamIdSchema,
      /** Number of credits requested from this recipient. */
      count: credits,
      /** Credits that the sender holds, in use or free. */
      holding: credits,
      /** Credits that the sender could use now, for running and queued requests. */
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

/** Acknowledges transfers: the largest totals that the sender of this receipt has received. */
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
