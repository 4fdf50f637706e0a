/**
 * The gRPC methods between entries: forwarding job calls to the coordinator, one by one or on a stream, and
 * exchanging owner announcements.
 */
import {
  type JobCall,
  jobCallSchema,
  type JobReply,
  jobReplySchema,
} from '@acaciadock/coordinator';
import { type MethodDefinition } from '@grpc/grpc-js';
import * as z from 'zod';
import {
  type CallBatch,
  parseCallBatch,
  parseReplyBatch,
  type ReplyBatch,
} from './relay/RelayMessages.js';

const serialize = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));

export const callMethod: MethodDefinition<JobCall, JobReply> = {
  path: '/acaciadock.jobs.Coordinator/Call',
  requestStream: false,
  responseStream: false,
  requestSerialize: serialize,
  requestDeserialize: (bytes) => jobCallSchema.parse(JSON.parse(bytes.toString('utf8'))),
  responseSerialize: serialize,
  responseDeserialize: (bytes) => jobReplySchema.parse(JSON.parse(bytes.toString('utf8'))),
};

const streamedCallSchema = z.object({
  /** Number of the call on its stream. */
  callId: z.number(),
  /** Checked apart from its number, so that a malformed call fails alone. */
  call: z.unknown(),
});

const streamedReplySchema = z.object({
  callId: z.number(),
  /** Null if the call failed without a reply, so that its outcome is unknown. */
  reply: jobReplySchema.nullable(),
});

export type StreamedCall = z.infer<typeof streamedCallSchema>;
export type StreamedReply = z.infer<typeof streamedReplySchema>;

/** Carries the calls of one entry. A message costs the owner a fraction of a call of its own. */
export const callStreamMethod: MethodDefinition<StreamedCall, StreamedReply> = {
  path: '/acaciadock.jobs.Coordinator/CallStream',
  requestStream: true,
  responseStream: true,
  requestSerialize: serialize,
  requestDeserialize: (bytes) => streamedCallSchema.parse(JSON.parse(bytes.toString('utf8'))),
  responseSerialize: serialize,
  responseDeserialize: (bytes) => streamedReplySchema.parse(JSON.parse(bytes.toString('utf8'))),
};

/** Carries the owner's calls to targets to an entry that relays them. */
export const relayMethod: MethodDefinition<CallBatch, ReplyBatch> = {
  path: '/acaciadock.jobs.Coordinator/Relay',
  requestStream: true,
  responseStream: true,
  requestSerialize: serialize,
  requestDeserialize: (bytes) => parseCallBatch(JSON.parse(bytes.toString('utf8'))),
  responseSerialize: serialize,
  responseDeserialize: (bytes) => parseReplyBatch(JSON.parse(bytes.toString('utf8'))),
};

const noticeSchema = z.object({
  owner: z.object({
    entryId: z.string(),
    bootMs: z.number(),
    peerAddress: z.string(),
    cpuMilli: z.number(),
  }),
  epoch: z.number(),
  isReleased: z.boolean(),
  endOffset: z.number().optional(),
  isEnding: z.boolean().optional(),
});

/** The gRPC library accepts no empty request or reply, so the notice is wrapped in an object. */
export const noticeRequestSchema = z.object({
  /** The latest announcement known to the requesting entry; null if it knows of none. */
  notice: noticeSchema.nullable(),
});
export const noticeReplySchema = z.object({
  /** The latest announcement known to the answering entry; null if it knows of none. */
  notice: noticeSchema.nullable(),
  isHealthyOwner: z.boolean(),
  // Entries of earlier versions don't send the following.
  process: z.object({ entryId: z.string(), bootMs: z.number() }).optional(),
  isLoading: z.boolean().default(false),
  isServedByStore: z.boolean().default(false),
  preparation: z.enum(['pending', 'ready', 'failed']).optional().catch(undefined),
});

export type NoticeRequest = z.infer<typeof noticeRequestSchema>;
export type NoticeReply = z.infer<typeof noticeReplySchema>;

export const noticeMethod: MethodDefinition<NoticeRequest, NoticeReply> = {
  path: '/acaciadock.jobs.Coordinator/Notice',
  requestStream: false,
  responseStream: false,
  requestSerialize: serialize,
  requestDeserialize: (bytes) => noticeRequestSchema.parse(JSON.parse(bytes.toString('utf8'))),
  responseSerialize: serialize,
  responseDeserialize: (bytes) => noticeReplySchema.parse(JSON.parse(bytes.toString('utf8'))),
};
