/**
 * The gRPC methods between entries: forwarding job calls to the coordinator, and exchanging owner
 * announcements.
 */
import {
  type JobCall,
  jobCallSchema,
  type JobReply,
  jobReplySchema,
} from '@acaciadock/coordinator';
import { type MethodDefinition } from '@grpc/grpc-js';
import * as z from 'zod';

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
