/**
 * Messages between the owner of the journal and an entry that relays its calls to targets. Both sides
 * collect what is due into batches, because a message costs more than what one call adds to it.
 */
import {
  type HoldReport,
  type HoldRequest,
  type OrderFailure,
  type OrderFailureKind,
  type OrderReceipt,
  type PaceOrder,
  type RunningTask,
  type StartOrder,
  type StopOrder,
  type TargetAddress,
} from '@acaciadock/execution';
import * as z from 'zod';

const processTimeSchema = z.object({ monotonicMs: z.number(), unixMs: z.number() });

/** Both clocks of a process at one moment. */
export type ProcessTime = Readonly<z.infer<typeof processTimeSchema>>;

const targetSchema = z.object({ targetId: z.string(), address: z.string() });

const runSchema = z.object({ taskId: z.string(), run: z.number(), fencingToken: z.number() });

const targetCallSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('hold'),
    target: targetSchema,
    request: z.object({
      fencingToken: z.number(),
      lastSeenEnd: z.number(),
      leaseUntilMs: z.number().optional(),
      waitMs: z.number(),
    }),
  }),
  z.object({
    kind: z.literal('start'),
    target: targetSchema,
    request: runSchema.extend({
      spec: z.string(),
      leaseUntilMs: z.number(),
      checkpoint: z.string(),
      ticket: z.string(),
    }),
  }),
  z.object({ kind: z.literal('stop'), target: targetSchema, request: runSchema }),
  z.object({
    kind: z.literal('pace'),
    target: targetSchema,
    request: runSchema.extend({ percent: z.number() }),
  }),
]);

/** One call to a target, as `TargetPort` has it. */
export type TargetCall =
  | { readonly kind: 'hold'; readonly target: TargetAddress; readonly request: HoldRequest }
  | { readonly kind: 'start'; readonly target: TargetAddress; readonly request: StartOrder }
  | { readonly kind: 'stop'; readonly target: TargetAddress; readonly request: StopOrder }
  | { readonly kind: 'pace'; readonly target: TargetAddress; readonly request: PaceOrder };

const callBatchSchema = z.object({
  /** The latest time of the relay that the owner has received; tells the relay how old the batch is. */
  echo: processTimeSchema,
  /** Checked one by one, so that a malformed call fails alone. */
  calls: z.array(z.object({ callId: z.number(), call: z.unknown() })),
  /** Targets that are gone, whose connections are to be closed. */
  forgotten: z.array(targetSchema),
});

export interface NumberedCall {
  /** Number of the call on its stream. */
  readonly callId: number;
  readonly call: unknown;
}

export interface CallBatch {
  readonly echo: ProcessTime;
  readonly calls: readonly NumberedCall[];
  readonly forgotten: readonly TargetAddress[];
}

export type TargetReply =
  | { readonly kind: 'report'; readonly report: HoldReport }
  | { readonly kind: 'receipt'; readonly receipt: OrderReceipt }
  | { readonly kind: 'failed'; readonly failure: OrderFailure }
  /** The call came too late and was not passed on. */
  | { readonly kind: 'expired' };

export interface NumberedReply {
  readonly callId: number;
  readonly reply: TargetReply;
}

export interface ReplyBatch {
  readonly time: ProcessTime;
  readonly replies: readonly NumberedReply[];
}

export function parseTargetCall(call: unknown): TargetCall | undefined {
  const parsed = targetCallSchema.safeParse(call);
  if (!parsed.success) return undefined;
  if (parsed.data.kind !== 'hold') return parsed.data;
  const { target, request } = parsed.data;
  return { kind: 'hold', target, request: { ...request, leaseUntilMs: request.leaseUntilMs } };
}

export function parseCallBatch(batch: unknown): CallBatch {
  return callBatchSchema.parse(batch);
}

function isNumber(value: unknown): value is number {
  return typeof value === 'number';
}

function isRunning(row: Partial<RunningTask> | null): boolean {
  if (typeof row?.taskId !== 'string' || !isNumber(row.run)) return false;
  return typeof row.checkpoint === 'string' && isNumber(row.percent) && isNumber(row.loadFigure);
}

const LISTED_ENDS: ReadonlySet<unknown> = new Set([
  'done',
  'failed',
  'stopped',
  'lapsed',
  'broken',
  'alone',
]);

const FAILURE_KINDS: Record<OrderFailureKind, true> = {
  fenced: true,
  'stale-run': true,
  late: true,
  'no-room': true,
  'ticket-refused': true,
  'other-lifetime': true,
  unhealthy: true,
  unreachable: true,
  invalid: true,
  'unknown-outcome': true,
};

/** A kind that only another version knows doesn't say whether the call was carried out. */
function isFailure(failure: Partial<OrderFailure> | undefined): boolean {
  return typeof failure?.kind === 'string' && Object.hasOwn(FAILURE_KINDS, failure.kind);
}

function isEnded(row: Partial<HoldReport['ended'][number]> | null): boolean {
  if (!isNumber(row?.sequence) || typeof row.taskId !== 'string') return false;
  return isNumber(row.run) && LISTED_ENDS.has(row.end) && typeof row.checkpoint === 'string';
}

function isReport(report: Partial<HoldReport> | undefined): boolean {
  if (!isNumber(report?.clockMs) || !isNumber(report.bornMs)) return false;
  if (!Array.isArray(report.running) || !report.running.every(isRunning)) return false;
  return Array.isArray(report.ended) && report.ended.every(isEnded);
}

// Checked by hand like the rows of a target's own answer: the owner receives a thousand reports a second
// with about a dozen rows each, and schemas take several times as long.
function isReply(reply: Partial<Record<string, unknown>> | null | undefined): reply is TargetReply {
  if (reply?.kind === 'expired') return true;
  if (reply?.kind === 'report') return isReport(reply.report as HoldReport | undefined);
  if (reply?.kind === 'receipt')
    return isNumber((reply.receipt as OrderReceipt | undefined)?.clockMs);
  return reply?.kind === 'failed' && isFailure(reply.failure as OrderFailure | undefined);
}

function isNumberedReply(row: unknown): row is NumberedReply {
  const { callId, reply } = (row ?? {}) as Partial<Record<string, unknown>>;
  return isNumber(callId) && isReply(reply as Record<string, unknown> | undefined);
}

const replyBatchSchema = z.object({ time: processTimeSchema, replies: z.array(z.unknown()) });

/** Leaves malformed replies out, so that their calls end as calls without a reply. */
export function parseReplyBatch(batch: unknown): ReplyBatch {
  const { time, replies } = replyBatchSchema.parse(batch);
  return { time, replies: replies.filter(isNumberedReply) };
}
