/**
 * One outgoing link: a long-lived gRPC stream to a peer, which reconnects with backoff. Messages of
 * one event-loop turn are sent as one batch. The queue is bounded: a link that is down or whose
 * queue is full rejects messages.
 */
import {
  Backoff,
  type Clock,
  Disposable,
  EventEmitter,
  type IDisposable,
  type Random,
  toDisposable,
} from '@acaciadock/core';
import { type ChannelCredentials, type ClientWritableStream, Client, status } from '@grpc/grpc-js';
import { type LinkCounters } from './LinkCounters.js';
import { MessageCodec } from './MessageCodec.js';
import { type PeerMessage } from './messages/PeerMessage.js';
import { deliverMethod, type Empty } from './peerService.js';

const MAX_PENDING_MESSAGES = 50_000;
const RECONNECT_BACKOFF = { firstMs: 50, maxMs: 2_000 };
const KEEPALIVE_MS = 5_000;
const KEEPALIVE_TIMEOUT_MS = 3_000;

export interface PeerLinkOptions {
  readonly selfEntryId: string;
  readonly address: string;
  readonly credentials: ChannelCredentials;
}

export class PeerLink extends Disposable {
  private stream: ClientWritableStream<Buffer> | undefined;

  private pending: PeerMessage[] = [];

  private flushScheduled = false;

  /** Whether the stream's send buffer is full: the next batch waits until it has drained. */
  private blocked = false;

  private reconnectTimer: IDisposable | undefined;

  private readonly backoff: Backoff;

  private readonly client: Client;

  private readonly changeEmitter = this.register(new EventEmitter<boolean>());

  /** Fires with true when the link has connected and with false when it has disconnected. */
  readonly onChange = this.changeEmitter.event;

  private up = false;

  readonly address: string;

  constructor(
    private readonly options: PeerLinkOptions,
    private readonly counters: LinkCounters,
    private readonly clock: Clock,
    random: Random,
  ) {
    super();
    this.backoff = new Backoff(RECONNECT_BACKOFF, random);
    this.address = options.address;
    this.client = new Client(options.address, options.credentials, {
      'grpc.keepalive_time_ms': KEEPALIVE_MS,
      'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
      'grpc.initial_reconnect_backoff_ms': RECONNECT_BACKOFF.firstMs,
      'grpc.max_reconnect_backoff_ms': RECONNECT_BACKOFF.maxMs,
      'grpc.use_local_subchannel_pool': 1,
    });
    this.register(toDisposable(() => this.close()));
    this.open();
  }

  /** Queues a message for the next batch; returns false if the link is down or its queue full. */
  send(message: PeerMessage): boolean {
    if (!this.up || this.pending.length >= MAX_PENDING_MESSAGES) return false;
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
        if (stream === this.stream) this.handleDisconnect();
        // Skips one delay, so that the delays grow faster while authentication fails.
        if (error?.code === status.UNAUTHENTICATED) this.backoff.nextMs();
      },
    );
    this.stream = stream;
    this.blocked = false;
    // The server sends metadata when it accepts the stream; the link is up from then on.
    stream.on('metadata', () => {
      if (stream === this.stream) this.setConnected(true);
    });
    stream.on('drain', () => {
      this.blocked = false;
      this.scheduleFlush();
    });
    stream.on('error', () => {
      if (stream === this.stream) this.handleDisconnect();
    });
  }

  private scheduleFlush(): void {
    if (this.flushScheduled || this.blocked || this.pending.length === 0) return;
    this.flushScheduled = true;
    setImmediate(() => this.flush());
  }

  private flush(): void {
    this.flushScheduled = false;
    if (!this.stream || this.pending.length === 0) return;
    const batch = this.pending;
    this.pending = [];
    const bytes = MessageCodec.encode(this.options.selfEntryId, batch);
    this.counters.sentMessages += batch.length;
    this.counters.sentBytes += bytes.length;
    this.blocked = !this.stream.write(bytes);
  }

  private handleDisconnect(): void {
    this.stream = undefined;
    this.pending = [];
    this.setConnected(false);
    if (this.isDisposed) return;
    this.reconnectTimer = this.clock.after(this.backoff.nextMs(), () => this.open());
  }

  private setConnected(up: boolean): void {
    if (up === this.up) return;
    this.up = up;
    if (up) this.backoff.reset();
    this.changeEmitter.fire(up);
  }

  private close(): void {
    this.up = false;
    this.reconnectTimer?.dispose();
    const { stream } = this;
    this.stream = undefined;
    stream?.cancel();
    this.client.close();
  }
}
