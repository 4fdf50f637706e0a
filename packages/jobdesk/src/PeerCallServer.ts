/** Takes the calls of other entries: for this entry's own coordinator, or who the owner is. */
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

  /** `exchange` takes up what a peer knows of the owner and says what is known here. */
  constructor(service: JobService, exchange: (told: OwnerNotice | undefined) => PeerAnswer) {
    super();
    const handle: UntypedHandleCall = (
      call: ServerUnaryCall<JobCall, JobReply>,
      done: sendUnaryData<JobReply>,
    ) => {
      service.call(call.request).then(
        (reply) => done(null, reply),
        (cause: unknown) => done({ code: status.INTERNAL, details: String(cause) }),
      );
    };
    const tell: UntypedHandleCall = (
      call: ServerUnaryCall<NoticeRequest, NoticeReply>,
      done: sendUnaryData<NoticeReply>,
    ) => {
      const { notice, isHealthyOwner } = exchange(call.request.notice ?? undefined);
      done(null, { notice: notice ?? null, isHealthyOwner });
    };
    this.server.addService(
      { call: callMethod, notice: noticeMethod },
      { call: handle, notice: tell },
    );
    this.register({ dispose: () => this.server.forceShutdown() });
  }

  /** Listens at `host:port` and returns the address that others may use. */
  listen(address: string): Promise<Result<string, PeerListenFailure>> {
    return new Promise((resolve) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
        if (error) resolve(err({ kind: 'peer-listen-failed', address, detail: error.message }));
        else resolve(ok(`${address.slice(0, address.lastIndexOf(':'))}:${port}`));
      });
    });
  }
}
