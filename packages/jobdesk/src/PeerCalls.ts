/** The gRPC method by which entries hand calls about jobs to the coordinator. */
import {
  type JobCall,
  jobCallSchema,
  type JobReply,
  jobReplySchema,
} from '@acaciadock/coordinator';
import { type MethodDefinition } from '@grpc/grpc-js';

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
