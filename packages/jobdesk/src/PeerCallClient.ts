/**
 * Calls the coordinator on another entry over a single gRPC channel. A call is sent only over a ready
 * channel, so that a call to an entry that can't be reached certainly had no effect. The calls share a
 * stream; an entry of a build without streams is called one by one.
 */
import { type Clock, Disposable } from '@acaciadock/core';
import { type JobCall, type JobReply, type JobService } from '@acaciadock/coordinator';
import { Client, connectivityState, credentials, type ServiceError, status } from '@grpc/grpc-js';
import { callMethod } from './PeerCalls.js';
import { PeerCallStream } from './PeerCallStream.js';

/** Call timeout in milliseconds; a running coordinator answers well within it. */
const CALL_TIMEOUT_MS = 1_200;

/** How long a call waits for a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;

const RETRY_AFTER_MS = 1_000;

/** Refusal reason if there is no connection to the owner; it goes away with a new one. */
export const UNREACHABLE = 'coordinator-unreachable';

const CHANNEL_OPTIONS = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 500,
  'grpc.use_local_subchannel_pool': 1,
};

export class PeerCallClient extends Disposable implements JobService {
  private client: Client | undefined;

  private stream: PeerCallStream | undefined;

  private hasStreams = true;

  constructor(
    readonly address: string,
    private readonly clock: Clock,
  ) {
    super();
    this.register({ dispose: () => this.close() });
  }

  async call(call: JobCall): Promise<JobReply> {
    this.client ??= new Client(this.address, credentials.createInsecure(), CHANNEL_OPTIONS);
    const { client } = this;
    // Another call may have closed the channel meanwhile.
    if ((await this.isReady(client)) && client === this.client) return this.send(client, call);
    return { kind: 'refused', reason: UNREACHABLE, retryAfterMs: RETRY_AFTER_MS };
  }

  private isReady(client: Client): Promise<boolean> {
    const isReady = client.getChannel().getConnectivityState(true) === connectivityState.READY;
    if (isReady) return Promise.resolve(true);
    return new Promise((resolve) => {
      const deadline = this.clock.unixMs() + CONNECT_TIMEOUT_MS;
      client.waitForReady(deadline, (failure) => resolve(!failure));
    });
  }

  private async send(client: Client, call: JobCall): Promise<JobReply> {
    if (!this.hasStreams) return this.sendAlone(client, call);
    const done = await this.openStream(client).call(call);
    if (done.isOk()) return done.value;
    if (done.error.kind === 'no-reply') return PeerCallClient.failed(call, done.error.reason);
    this.hasStreams = false;
    return this.sendAlone(client, call);
  }

  private openStream(client: Client): PeerCallStream {
    if (this.stream?.isOpen === true) return this.stream;
    this.stream?.dispose();
    const stream = new PeerCallStream(client, CALL_TIMEOUT_MS, this.clock);
    // The channel may never recover, so the next call opens a new one.
    stream.onSilent(() => {
      if (stream === this.stream) this.close();
    });
    this.stream = stream;
    return stream;
  }

  private sendAlone(client: Client, call: JobCall): Promise<JobReply> {
    return new Promise((resolve) => {
      client.makeUnaryRequest(
        callMethod.path,
        callMethod.requestSerialize,
        callMethod.responseDeserialize,
        call,
        { deadline: this.clock.unixMs() + CALL_TIMEOUT_MS },
        (error, reply) => {
          if (reply) resolve(reply);
          else resolve(this.onFailure(call, error));
        },
      );
    });
  }

  private onFailure(call: JobCall, error: ServiceError | null): JobReply {
    if (error?.code === status.DEADLINE_EXCEEDED) this.close();
    return PeerCallClient.failed(call, error ? status[error.code] : 'silent');
  }

  /** The reply to a call that was sent and got none. */
  private static failed(call: JobCall, detail: string): JobReply {
    const reason = `coordinator-${detail}`;
    if (call.kind === 'submit' || call.kind === 'cancel')
      return { kind: 'unknown-outcome', reason };
    return { kind: 'refused', reason, retryAfterMs: RETRY_AFTER_MS };
  }

  private close(): void {
    this.stream?.dispose();
    this.stream = undefined;
    this.client?.close();
    this.client = undefined;
  }
}
