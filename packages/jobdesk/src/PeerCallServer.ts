/** gRPC server for the other entries: job calls to the local coordinator, and owner queries. */
import { Disposable } from '@acaciadock/core';
import { type JobCall, type JobReply, type JobService } from '@acaciadock/coordinator';
import { type OwnerNotice, type PeerAnswer } from '@acaciadock/journal';
import {
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  status,
  type UntypedHandleCall,
} from '@grpc/grpc-js';
import { err, ok, type Result } from 'neverthrow';
import { callMethod, noticeMethod, type NoticeReply, type NoticeRequest } from './PeerCalls.js';

export interface PeerListenFailure {
  readonly kind: 'peer-listen-failed';
  readonly address: string;
  readonly detail: string;
}

export class PeerCallServer extends Disposable {
  private readonly server = new Server();

  /** `exchange` accepts a peer's owner announcement and returns what this entry knows. */
  constructor(service: JobService, exchange: (received: OwnerNotice | undefined) => PeerAnswer) {
    super();
    const handleCall: UntypedHandleCall = (
      call: ServerUnaryCall<JobCall, JobReply>,
      done: sendUnaryData<JobReply>,
    ) => {
      service.call(call.request).then(
        (reply) => done(null, reply),
        (cause: unknown) => done({ code: status.INTERNAL, details: String(cause) }),
      );
    };
    const handleNotice: UntypedHandleCall = (
      call: ServerUnaryCall<NoticeRequest, NoticeReply>,
      done: sendUnaryData<NoticeReply>,
    ) => {
      let answer: PeerAnswer;
      try {
        answer = exchange(call.request.notice ?? undefined);
      } catch (cause) {
        done({ code: status.INTERNAL, details: String(cause) });
        return;
      }
      done(null, { ...answer, notice: answer.notice ?? null });
    };
    this.server.addService(
      { call: callMethod, notice: noticeMethod },
      { call: handleCall, notice: handleNotice },
    );
    this.register({ dispose: () => this.server.forceShutdown() });
  }

  /** Listens at `host:port` and returns the address with the actual port. */
  listen(address: string): Promise<Result<string, PeerListenFailure>> {
    return new Promise((resolve) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
        if (error) resolve(err({ kind: 'peer-listen-failed', address, detail: error.message }));
        else resolve(ok(`${address.slice(0, address.lastIndexOf(':'))}:${port}`));
      });
    });
  }
}
