/**
 * The job service that entries call on behalf of their clients, with its message schemas. The
 * coordinator may run in the same process or on another entry. Every reply states whether work was
 * accepted, was not accepted, or may have been accepted.
 */
import { jobSpecSchema } from '@acaciadock/jobs';
import * as z from 'zod';

/** Reason of a refusal because of load: the job would end too late, has not run and never will. */
export const OVERLOADED = 'overloaded';

/** Reason of a refusal because another submission has the id; this one has not run and never will. */
export const ID_IN_USE = 'id-in-use';

/** The client's access data, and what the entry resolved it to under its configuration version. */
export const callContextSchema = z.object({
  access: z.object({ host: z.string(), path: z.string(), key: z.string() }),
  configVersion: z.number(),
  queueId: z.string(),
  poolId: z.string(),
  teamId: z.string(),
  priority: z.number(),
  maxAttempts: z.number(),
  stretch: z.number(),
  targetLatencyMs: z.number(),
});

const submitCallSchema = z.object({
  kind: z.literal('submit'),
  context: callContextSchema,
  jobId: z.string(),
  spec: jobSpecSchema,
});

const stateCallSchema = z.object({
  kind: z.literal('state'),
  context: callContextSchema,
  jobId: z.string(),
});

const cancelCallSchema = z.object({
  kind: z.literal('cancel'),
  context: callContextSchema,
  jobId: z.string(),
});

const waitingCallSchema = z.object({ kind: z.literal('waiting'), context: callContextSchema });

export const jobCallSchema = z.discriminatedUnion('kind', [
  submitCallSchema,
  stateCallSchema,
  cancelCallSchema,
  waitingCallSchema,
]);

export const jobReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted') }),
  z.object({
    kind: z.literal('state'),
    status: z.enum(['pending', 'running', 'completed', 'failed', 'cancelled']),
  }),
  z.object({ kind: z.literal('cancelled') }),
  z.object({ kind: z.literal('waiting'), count: z.number() }),
  z.object({ kind: z.literal('unknown-job') }),
  z.object({ kind: z.literal('no-such-queue') }),
  z.object({ kind: z.literal('unknown-key') }),
  /** The call was not accepted and will not be later. */
  z.object({ kind: z.literal('refused'), reason: z.string(), retryAfterMs: z.number() }),
  /** The call may have been accepted; it is idempotent and safe to repeat. */
  z.object({ kind: z.literal('unknown-outcome'), reason: z.string() }),
]);

export type CallContext = z.infer<typeof callContextSchema>;
export type SubmitCall = z.infer<typeof submitCallSchema>;
export type JobCall = z.infer<typeof jobCallSchema>;
export type JobReply = z.infer<typeof jobReplySchema>;

export abstract class JobService {
  abstract call(call: JobCall): Promise<JobReply>;
}
