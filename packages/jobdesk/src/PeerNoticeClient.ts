/** Asks other entries who owns the journal. Queries are rare, so each opens its own channel. */
import { type Clock, type IDisposable, type Logger } from '@acaciadock/core';
import { type OwnerNotice, type PeerAnswer, PeerNotices } from '@acaciadock/journal';
import { Client, credentials } from '@grpc/grpc-js';
import { noticeMethod } from './PeerCalls.js';
import { ProcessWatch } from './ProcessWatch.js';

/** Query timeout in milliseconds; a running peer answers within a few. */
const ASK_TIMEOUT_MS = 200;

export class PeerNoticeClient extends PeerNotices {
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly askTimeoutMs = ASK_TIMEOUT_MS,
  ) {
    super();
  }

  override watch(peerAddress: string, onRefused: () => void): IDisposable {
    const watch = new ProcessWatch(peerAddress, this.clock);
    watch.onRefused(onRefused);
    return watch;
  }

  override exchangeNotice(
    peerAddress: string,
    knownNotice?: OwnerNotice,
  ): Promise<PeerAnswer | undefined> {
    const client = new Client(peerAddress, credentials.createInsecure(), {
      'grpc.use_local_subchannel_pool': 1,
    });
    return new Promise((resolve) => {
      client.makeUnaryRequest(
        noticeMethod.path,
        noticeMethod.requestSerialize,
        noticeMethod.responseDeserialize,
        { notice: knownNotice ?? null },
        { deadline: this.clock.unixMs() + this.askTimeoutMs },
        (error, reply) => {
          client.close();
          if (error) this.logger.info('peer-unasked', { peerAddress, reason: error.message });
          resolve(reply && { ...reply, notice: reply.notice ?? undefined });
        },
      );
    });
  }
}
