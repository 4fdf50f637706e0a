/**
 * One stream of calls to the coordinator on another entry. All calls of this entry share it, and each is
 * resolved by its own reply or timeout, or by the end of the stream.
 */
import { type Clock, Disposable, EventEmitter, type IDisposable } from '@acaciadock/core';
import { type JobCall, type JobReply } from '@acaciadock/coordinator';
import { type Client, type ClientDuplexStream, type ServiceError, status } from '@grpc/grpc-js';
import { err, ok, type Result } from 'neverthrow';
import { callStreamMethod, type StreamedCall, type StreamedReply } from './PeerCalls.js';

export interface CallFailure {
  /** `not-implemented`: the other entry is of a build without streams, so the call had no effect. */
  readonly kind: 'not-implemented' | 'no-reply';
  readonly reason: string;
}

interface PendingCall {
  readonly timer: IDisposable;
  readonly settle: (result: Result<JobReply, CallFailure>) => void;
}

export class PeerCallStream extends Disposable {
  private readonly silentEmitter = this.register(new EventEmitter<void>());

  /** Fires when a call timed out and nothing has arrived since it was sent. */
  readonly onSilent = this.silentEmitter.event;

  private readonly stream: ClientDuplexStream<StreamedCall, StreamedReply>;

  private readonly pending = new Map<number, PendingCall>();

  private nextCallId = 1;

  private receivedMs = -Infinity;

  private failure: CallFailure | undefined;

  constructor(
    client: Client,
    private readonly timeoutMs: number,
    private readonly clock: Clock,
  ) {
    super();
    this.stream = client.makeBidiStreamRequest(
      callStreamMethod.path,
      callStreamMethod.requestSerialize,
      callStreamMethod.responseDeserialize,
    );
    this.stream.on('data', (reply: StreamedReply) => this.receive(reply));
    this.stream.on('error', (error: ServiceError) => this.end(PeerCallStream.failureOf(error)));
    this.stream.on('end', () => this.end({ kind: 'no-reply', reason: 'ended' }));
    this.register({
      dispose: () => {
        this.end({ kind: 'no-reply', reason: 'closed' });
        this.stream.cancel();
      },
    });
  }

  /** Whether further calls can be sent. */
  get isOpen(): boolean {
    return this.failure === undefined;
  }

  /** Sends the call; an error leaves its outcome unknown, unless it says otherwise. */
  call(call: JobCall): Promise<Result<JobReply, CallFailure>> {
    if (this.failure) return Promise.resolve(err(this.failure));
    const callId = this.nextCallId;
    this.nextCallId += 1;
    const sentMs = this.clock.monotonicMs();
    return new Promise((resolve) => {
      const timer = this.clock.after(this.timeoutMs, () => this.expire(callId, sentMs));
      this.pending.set(callId, { timer, settle: resolve });
      this.stream.write({ callId, call });
    });
  }

  private receive({ callId, reply }: StreamedReply): void {
    this.receivedMs = this.clock.monotonicMs();
    this.settle(callId, reply ? ok(reply) : err({ kind: 'no-reply', reason: 'failed' }));
  }

  private expire(callId: number, sentMs: number): void {
    this.settle(callId, err({ kind: 'no-reply', reason: 'timeout' }));
    if (this.receivedMs < sentMs) this.silentEmitter.fire();
  }

  private settle(callId: number, result: Result<JobReply, CallFailure>): void {
    const call = this.pending.get(callId);
    if (!call) return;
    this.pending.delete(callId);
    call.timer.dispose();
    call.settle(result);
  }

  private end(failure: CallFailure): void {
    if (this.failure) return;
    this.failure = failure;
    [...this.pending.keys()].forEach((callId) => this.settle(callId, err(failure)));
  }

  private static failureOf({ code }: ServiceError): CallFailure {
    if (code === status.UNIMPLEMENTED) return { kind: 'not-implemented', reason: status[code] };
    return { kind: 'no-reply', reason: status[code] };
  }
}
