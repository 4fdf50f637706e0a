/** The gRPC service between entries: one client-streaming method that carries batches. */
import { type MethodDefinition, type ServiceDefinition } from '@grpc/grpc-js';

export type Empty = Record<string, never>;

const EMPTY: Empty = {};
const identity = (bytes: Buffer): Buffer => bytes;

export const deliverMethod: MethodDefinition<Buffer, Empty> = {
  path: '/acaciadock.Peer/Deliver',
  requestStream: true,
  responseStream: false,
  requestSerialize: identity,
  requestDeserialize: identity,
  responseSerialize: () => Buffer.alloc(0),
  responseDeserialize: () => EMPTY,
};

export const peerService: ServiceDefinition = { deliver: deliverMethod };
