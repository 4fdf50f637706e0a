/** The gRPC method by which entries hand calls about jobs to the coordinator. */
import {
  type JobCall,
  jobCallSchema,
  type JobReply,
  jobReplySchema,
} from '@acaciadock/coordinator';
import { type OwnerNotice } from '@acaciadock/journal';
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
});

/** What an entry knows of the owner; null if nothing. */
export type NoticeReply = OwnerNotice | null;

export const noticeMethod: MethodDefinition<null, NoticeReply> = {
  path: '/acaciadock.jobs.Coordinator/Notice',
  requestStream: false,
  responseStream: false,
  requestSerialize: serialize,
  requestDeserialize: () => null,
  responseSerialize: serialize,
  responseDeserialize: (bytes) => noticeSchema.nullable().parse(JSON.parse(bytes.toString('utf8'))),
};
