/** Calls the coordinator on another entry over a single gRPC channel. */
import { type Clock, Disposable } from '@acaciadock/core';
import { type JobCall, type JobReply, type JobService } from '@acaciadock/coordinator';
import { Client, credentials, type ServiceError, status } from '@grpc/grpc-js';
import { callMethod } from './PeerCalls.js';

/** Call timeout in milliseconds; a running coordinator answers well within it. */
const CALL_TIMEOUT_MS = 1_200;

const RETRY_AFTER_MS = 1_000;

const CHANNEL_OPTIONS = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 500,
  'grpc.use_local_subchannel_pool': 1,
};

export class PeerCallClient extends Disposable implements JobService {
  private client: Client | undefined;

  constructor(
    readonly address: string,
    private readonly clock: Clock,
  ) {
    super();
    this.register({ dispose: () => this.close() });
  }

  call(call: JobCall): Promise<JobReply> {
    this.client ??= new Client(this.address, credentials.createInsecure(), CHANNEL_OPTIONS);
    const { client } = this;
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
    // The channel may never recover, so the next call opens a new one.
    if (error?.code === status.DEADLINE_EXCEEDED) this.close();
    const reason = `coordinator-${error ? status[error.code] : 'silent'}`;
    if (call.kind === 'submit' || call.kind === 'cancel')
      return { kind: 'unknown-outcome', reason };
    return { kind: 'refused', reason, retryAfterMs: RETRY_AFTER_MS };
  }

  private close(): void {
    this.client?.close();
    this.client = undefined;
  }
}
