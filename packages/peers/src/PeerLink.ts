/**
 * One outgoing link: a long-lived gRPC stream to a peer. Messages of one event-loop turn travel
 * as one batch. A link that is down or full refuses; it never queues without bound.
 */
import {
  Backoff,
  type Clock,
  Disposable,
  type IDisposable,
  type Random,
  toDisposable,
} from '@acaciadock/core';
import { type ChannelCredentials, type ClientWritableStream, Client, status } from '@grpc/grpc-js';
import { MessageCodec } from './MessageCodec.js';
import { type PeerMessage } from './messages/PeerMessage.js';
import { deliverMethod, type Empty } from './peerService.js';

const MOST_PENDING_MESSAGES = 50_000;
const RECONNECT = { firstMs: 50, mostMs: 2_000 };
const KEEPALIVE_MS = 5_000;
const KEEPALIVE_TIMEOUT_MS = 3_000;

export class PeerLink extends Disposable {
  private stream: ClientWritableStream<Buffer> | undefined;

  private pending: PeerMessage[] = [];

  private flushing = false;

  private blocked = false;

  private reconnect: IDisposable | undefined;

  private readonly backoff: Backoff;

  private readonly client: Client;

  constructor(
    private readonly selfEntryId: string,
    readonly address: string,
    credentials: ChannelCredentials,
    private readonly clock: Clock,
    random: Random,
  ) {
    super();
    this.backoff = new Backoff(RECONNECT, random);
    this.client = new Client(address, credentials, {
      'grpc.keepalive_time_ms': KEEPALIVE_MS,
      'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
      'grpc.initial_reconnect_backoff_ms': RECONNECT.firstMs,
      'grpc.max_reconnect_backoff_ms': RECONNECT.mostMs,
      'grpc.use_local_subchannel_pool': 1,
    });
    this.register(toDisposable(() => this.close()));
    this.open();
  }

  /** Queues a message for this turn's batch; false if the link is down or full. */
  send(message: PeerMessage): boolean {
    if (!this.stream || this.pending.length >= MOST_PENDING_MESSAGES) return false;
    this.pending.push(message);
    this.scheduleFlush();
    return true;
  }

  private open(): void {
    if (this.isDisposed) return;
    const stream = this.client.makeClientStreamRequest<Buffer, Empty>(
      deliverMethod.path,
      deliverMethod.requestSerialize,
      deliverMethod.responseDeserialize,
      (error) => {
        if (stream === this.stream) this.lose();
        if (error?.code === status.UNAUTHENTICATED) this.backoff.nextMs();
      },
    );
    this.stream = stream;
    this.blocked = false;
    stream.on('drain', () => {
      this.blocked = false;
      this.backoff.reset();
      this.scheduleFlush();
    });
    stream.on('error', () => {
      if (stream === this.stream) this.lose();
    });
  }

  private scheduleFlush(): void {
    if (this.flushing || this.blocked || this.pending.length === 0) return;
    this.flushing = true;
    setImmediate(() => this.flush());
  }

  private flush(): void {
    this.flushing = false;
    if (!this.stream || this.pending.length === 0) return;
    const batch = this.pending;
    this.pending = [];
    this.blocked = !this.stream.write(MessageCodec.encode(this.selfEntryId, batch));
  }

  private lose(): void {
    this.stream = undefined;
    this.pending = [];
    if (this.isDisposed) return;
    this.reconnect = this.clock.after(this.backoff.nextMs(), () => this.open());
  }

  private close(): void {
    this.reconnect?.dispose();
    const { stream } = this;
    this.stream = undefined;
    stream?.cancel();
    this.client.close();
  }
}
