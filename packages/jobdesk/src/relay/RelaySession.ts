/**
 * The relay's end of a link: passes the owner's calls on to targets and collects the replies. It decides
 * nothing and keeps nothing; a call that comes too late is not passed on, and the owner is told so.
 */
import { type Clock, Disposable, type IDisposable } from '@acaciadock/core';
import { type OrderFailure, type TargetPort } from '@acaciadock/execution';
import { type Result } from 'neverthrow';
import {
  type CallBatch,
  type NumberedCall,
  type NumberedReply,
  parseTargetCall,
  type ProcessTime,
  type ReplyBatch,
  type TargetCall,
  type TargetReply,
} from './RelayMessages.js';
import { BATCH_MS } from './RelayLink.js';

/**
 * Age from which a batch is not passed on, in milliseconds. An acknowledgement that arrives later could
 * reach a target that has restarted under the same id, whose ends it would discard.
 */
const MAX_BATCH_AGE_MS = 200;

/**
 * If the wall clock advanced this much more or less than the monotonic clock, in milliseconds, the process
 * was suspended, or a clock was set.
 */
const CLOCK_DEVIATION_MS = 100;

/** Longest time between two messages to the owner, in milliseconds: the owner sends their time back. */
const MAX_QUIET_MS = 40;

export class RelaySession extends Disposable {
  private replies: NumberedReply[] = [];

  private flushTimer: IDisposable | undefined;

  private sentMs = -Infinity;

  private handledMs = -Infinity;

  constructor(
    private readonly port: TargetPort,
    private readonly clock: Clock,
    private readonly transmit: (batch: ReplyBatch) => void,
  ) {
    super();
    this.register({ dispose: () => this.flushTimer?.dispose() });
    this.register(clock.every(MAX_QUIET_MS, () => this.flushIfQuiet()));
    this.flush();
  }

  /** Whether calls have arrived within this time, in milliseconds. */
  hasHandledWithin(periodMs: number): boolean {
    return this.clock.monotonicMs() - this.handledMs <= periodMs;
  }

  handle({ echo, calls, forgotten }: CallBatch): void {
    this.handledMs = this.clock.monotonicMs();
    forgotten.forEach((target) => this.port.forget(target));
    const isExpired = this.isExpired(echo);
    calls.forEach((call) => {
      if (isExpired) this.reply(call.callId, { kind: 'expired' });
      else this.pass(call);
    });
  }

  private isExpired(echo: ProcessTime): boolean {
    const monotonicMs = this.clock.monotonicMs() - echo.monotonicMs;
    const unixMs = this.clock.unixMs() - echo.unixMs;
    return monotonicMs > MAX_BATCH_AGE_MS || Math.abs(unixMs - monotonicMs) > CLOCK_DEVIATION_MS;
  }

  private pass({ callId, call }: NumberedCall): void {
    const parsed = parseTargetCall(call);
    if (!parsed) {
      const failure: OrderFailure = { kind: 'invalid', detail: 'malformed call' };
      this.reply(callId, { kind: 'failed', failure });
      return;
    }
    void this.execute(parsed).then(
      (reply) => this.reply(callId, reply),
      (cause: unknown) => {
        const failure: OrderFailure = { kind: 'unknown-outcome', detail: String(cause) };
        this.reply(callId, { kind: 'failed', failure });
      },
    );
  }

  private async execute({ kind, target, request }: TargetCall): Promise<TargetReply> {
    if (kind === 'hold') {
      const done = await this.port.hold(target, request);
      if (done.isErr()) return { kind: 'failed', failure: done.error };
      return { kind: 'report', report: done.value };
    }
    if (kind === 'start') return RelaySession.replyOf(await this.port.start(target, request));
    if (kind === 'stop') return RelaySession.replyOf(await this.port.stop(target, request));
    return RelaySession.replyOf(await this.port.pace(target, request));
  }

  private static replyOf(done: Result<{ clockMs: number }, OrderFailure>): TargetReply {
    if (done.isErr()) return { kind: 'failed', failure: done.error };
    return { kind: 'receipt', receipt: { clockMs: done.value.clockMs } };
  }

  private reply(callId: number, reply: TargetReply): void {
    if (this.isDisposed) return;
    this.replies.push({ callId, reply });
    this.flushTimer ??= this.clock.after(BATCH_MS, () => this.flush());
  }

  private flushIfQuiet(): void {
    if (this.clock.monotonicMs() - this.sentMs >= MAX_QUIET_MS) this.flush();
  }

  private flush(): void {
    this.flushTimer?.dispose();
    this.flushTimer = undefined;
    const { replies } = this;
    this.replies = [];
    const monotonicMs = this.clock.monotonicMs();
    this.sentMs = monotonicMs;
    this.transmit({ time: { monotonicMs, unixMs: this.clock.unixMs() }, replies });
  }
}
