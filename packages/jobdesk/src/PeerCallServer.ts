/** gRPC server for the other entries: job calls to the local coordinator, and owner queries. */
import { Disposable } from '@acaciadock/core';
import {
  type JobCall,
  jobCallSchema,
  type JobReply,
  type JobService,
} from '@acaciadock/coordinator';
import { type OwnerNotice, type PeerAnswer } from '@acaciadock/journal';
import {
  type sendUnaryData,
  type ServerDuplexStream,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  status,
  type UntypedHandleCall,
} from '@grpc/grpc-js';
import { err, ok, type Result } from 'neverthrow';
import {
  callMethod,
  callStreamMethod,
  noticeMethod,
  type NoticeReply,
  type NoticeRequest,
  relayMethod,
  type StreamedCall,
  type StreamedReply,
} from './PeerCalls.js';
import { type CallBatch, type ReplyBatch } from './relay/RelayMessages.js';
import { type RelaySession } from './relay/RelaySession.js';

export interface PeerListenFailure {
  readonly kind: 'peer-listen-failed';
  readonly address: string;
  readonly detail: string;
}

export class PeerCallServer extends Disposable {
  private readonly server = new Server();

  /**
   * `exchange` accepts a peer's owner announcement and returns what this entry knows; `openRelay` starts a
   * session that relays the calls of a peer to targets.
   */
  constructor(
    service: JobService,
    exchange: (received: OwnerNotice | undefined) => PeerAnswer,
    openRelay?: (transmit: (batch: ReplyBatch) => void) => RelaySession,
  ) {
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
    const handleStream: UntypedHandleCall = (
      stream: ServerDuplexStream<StreamedCall, StreamedReply>,
    ) => PeerCallServer.serveStream(stream, service);
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
    const handleRelay: UntypedHandleCall = (stream: ServerDuplexStream<CallBatch, ReplyBatch>) =>
      PeerCallServer.serveRelay(stream, openRelay);
    this.server.addService(
      { call: callMethod, callStream: callStreamMethod, notice: noticeMethod, relay: relayMethod },
      { call: handleCall, callStream: handleStream, notice: handleNotice, relay: handleRelay },
    );
    this.register({ dispose: () => this.server.forceShutdown() });
  }

  private static serveStream(
    stream: ServerDuplexStream<StreamedCall, StreamedReply>,
    service: JobService,
  ): void {
    const answer = (callId: number, reply: JobReply | null): void => {
      if (!stream.cancelled && !stream.destroyed) stream.write({ callId, reply });
    };
    stream.on('data', ({ callId, call }: StreamedCall) => {
      const parsed = jobCallSchema.safeParse(call);
      if (!parsed.success) {
        answer(callId, null);
        return;
      }
      service.call(parsed.data).then(
        (reply) => answer(callId, reply),
        () => answer(callId, null),
      );
    });
    stream.on('end', () => stream.end());
    // The client sees the end of the stream and resolves its calls.
    stream.on('error', () => stream.end());
  }

  private static serveRelay(
    stream: ServerDuplexStream<CallBatch, ReplyBatch>,
    openRelay: ((transmit: (batch: ReplyBatch) => void) => RelaySession) | undefined,
  ): void {
    if (!openRelay) {
      stream.end();
      return;
    }
    const session = openRelay((batch) => {
      if (!stream.cancelled && !stream.destroyed) stream.write(batch);
    });
    stream.on('data', (batch: CallBatch) => session.handle(batch));
    stream.on('cancelled', () => session.dispose());
    stream.on('close', () => session.dispose());
    stream.on('end', () => {
      session.dispose();
      stream.end();
    });
    stream.on('error', () => {
      session.dispose();
      stream.end();
    });
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
