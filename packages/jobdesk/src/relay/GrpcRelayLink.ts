/** Link to a relaying entry over one gRPC stream. */
import { type Clock } from '@acaciadock/core';
import {
  Client,
  type ClientDuplexStream,
  credentials,
  type ServiceError,
  status,
} from '@grpc/grpc-js';
import { relayMethod } from '../PeerCalls.js';
import { RelayLink } from './RelayLink.js';
import { type CallBatch, type ReplyBatch } from './RelayMessages.js';

export class GrpcRelayLink extends RelayLink {
  private readonly client: Client;

  private readonly stream: ClientDuplexStream<CallBatch, ReplyBatch>;

  constructor(peerAddress: string, clock: Clock) {
    super(clock);
    this.client = new Client(peerAddress, credentials.createInsecure(), {
      'grpc.use_local_subchannel_pool': 1,
    });
    this.stream = this.client.makeBidiStreamRequest(
      relayMethod.path,
      relayMethod.requestSerialize,
      relayMethod.responseDeserialize,
    );
    this.stream.on('data', (batch: ReplyBatch) => this.receive(batch));
    this.stream.on('error', ({ code }: ServiceError) => this.fail(status[code] ?? String(code)));
    this.stream.on('end', () => this.fail('ended'));
    this.register({
      dispose: () => {
        this.stream.cancel();
        this.client.close();
      },
    });
  }

  protected override transmit(batch: CallBatch): void {
    this.stream.write(batch);
  }
}
