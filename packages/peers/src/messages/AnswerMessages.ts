/** Messages with which an entry asks a claim's holder for the answer to a repeated request. */
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
    /** The request has not ended; another reply follows when it ends. */
    'running',
    'answered',
    /** The work was refused and did not run. */
    'not-run',
    /** The request ended without an answer, or the holder no longer has a record of it. */
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
