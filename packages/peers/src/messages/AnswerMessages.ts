/** How an entry asks the holder of a claim for the answer that a repeat should get. */
import { idSchema } from '@acaciadock/core';
import { z } from 'zod';

export const answerQuerySchema = z.object({
  kind: z.literal('answer-query'),
  queryId: idSchema,
  claimId: idSchema,
});

export const answerReplySchema = z.object({
  kind: z.literal('answer-reply'),
  queryId: idSchema,
  state: z.enum([
    /** The request has not ended; another reply follows when it has. */
    'running',
    'answered',
    /** The work was refused and has not run. */
    'not-run',
    /** The request ended without an answer, or the holder does not know it any more. */
    'no-answer',
  ]),
  answer: z
    .object({
      statusCode: z.int().min(200).max(299),
      contentType: z.string().max(1_000),
      body: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
    })
    .optional(),
});

export type AnswerQuery = z.infer<typeof answerQuerySchema>;
export type AnswerReply = z.infer<typeof answerReplySchema>;
