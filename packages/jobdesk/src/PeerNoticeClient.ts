/** Asks other entries who owns the journal. Asked rarely, so each question has its own channel. */
import { type Clock, type Logger } from '@acaciadock/core';
import { type OwnerNotice, type PeerAnswer, PeerNotices } from '@acaciadock/journal';
import { Client, credentials } from '@grpc/grpc-js';
import { noticeMethod } from './PeerCalls.js';

/** A peer that lives answers in a few milliseconds. */
const ASK_TIMEOUT_MS = 200;

export class PeerNoticeClient extends PeerNotices {
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  override ask(peerAddress: string, told?: OwnerNotice): Promise<PeerAnswer | undefined> {
    const client = new Client(peerAddress, credentials.createInsecure(), {
      'grpc.use_local_subchannel_pool': 1,
    });
    return new Promise((resolve) => {
      client.makeUnaryRequest(
        noticeMethod.path,
        noticeMethod.requestSerialize,
        noticeMethod.responseDeserialize,
        { notice: told ?? null },
        { deadline: this.clock.unixMs() + ASK_TIMEOUT_MS },
        (error, reply) => {
          client.close();
          if (error) this.logger.info('peer-unasked', { peerAddress, reason: error.message });
          resolve(reply && { ...reply, notice: reply.notice ?? undefined });
        },
      );
    });
  }
}
