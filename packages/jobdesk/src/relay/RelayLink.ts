/**
 * The owner's link to one entry that relays its calls to targets. Calls of a few milliseconds share a
 * message. A call is certainly not passed on until its batch is sent, and when the relay says so.
 */
import { type Clock, Disposable, EventEmitter, type IDisposable } from '@acaciadock/core';
import { type TargetAddress } from '@acaciadock/execution';
import { err, ok, type Result } from 'neverthrow';
import {
  type CallBatch,
  type NumberedCall,
  type ProcessTime,
  type ReplyBatch,
  type TargetCall,
  type TargetReply,
} from './RelayMessages.js';

/** How long calls wait for others to share their message, in milliseconds. */
export const BATCH_MS = 6;

/** Time that a relayed call may take beyond a direct one, in milliseconds: batches both ways, the network. */
const RELAY_ALLOWANCE_MS = 100;

/**
 * A relay sends its time more often than ten times a second; one that has been silent for this long, in
 * milliseconds, has stopped or is cut off.
 */
const MAX_SILENCE_MS = 300;

const CHECK_MS = 50;

/** Calls without a reply at one check from which the relay counts as too slow. */
const MIN_OVERDUE_OF_SLOW = 3;

export interface RelayFailure {
  /** `not-sent`: the call has not left this process. `lost`: it may have been passed on. */
  readonly kind: 'not-sent' | 'lost';
  readonly reason: string;
}

interface PendingCall {
  /** Monotonic time from which the call counts as lost. */
  readonly dueMs: number;
  readonly settle: (result: Result<TargetReply, RelayFailure>) => void;
}

export abstract class RelayLink extends Disposable {
  private readonly failedEmitter = this.register(new EventEmitter<string>());

  /** Fires once, with the reason, when the link can't be used any more. */
  readonly onFailed = this.failedEmitter.event;

  private readonly pending = new Map<number, PendingCall>();

  private waiting: NumberedCall[] = [];

  private forgotten: TargetAddress[] = [];

  private flushTimer: IDisposable | undefined;

  private nextCallId = 1;

  private relayTime: ProcessTime | undefined;

  private receivedMs = -Infinity;

  private hasFailed = false;

  private checkedMs: number;

  constructor(protected readonly clock: Clock) {
    super();
    this.checkedMs = clock.monotonicMs();
    this.register(clock.every(CHECK_MS, () => this.check()));
    this.register({ dispose: () => this.fail('closed') });
  }

  protected abstract transmit(batch: CallBatch): void;

  /** Whether the relay has answered and the link has not failed. */
  get isOpen(): boolean {
    return this.relayTime !== undefined && !this.hasFailed;
  }

  /** `timeoutMs` is the time that the call takes at most if it is sent directly. */
  call(call: TargetCall, timeoutMs: number): Promise<Result<TargetReply, RelayFailure>> {
    if (!this.isOpen) return Promise.resolve(err({ kind: 'not-sent', reason: 'closed' }));
    const callId = this.nextCallId;
    this.nextCallId += 1;
    const dueMs = this.clock.monotonicMs() + timeoutMs + RELAY_ALLOWANCE_MS;
    return new Promise((resolve) => {
      this.pending.set(callId, { dueMs, settle: resolve });
      this.waiting.push({ callId, call });
      this.flushTimer ??= this.clock.after(BATCH_MS, () => this.flush());
    });
  }

  /** Lets the relay close its connections to a target that is gone. */
  forget(target: TargetAddress): void {
    if (!this.isOpen) return;
    this.forgotten.push(target);
    this.flushTimer ??= this.clock.after(BATCH_MS, () => this.flush());
  }

  protected receive({ time, replies }: ReplyBatch): void {
    if (this.hasFailed) return;
    this.relayTime = time;
    this.receivedMs = this.clock.monotonicMs();
    replies.forEach(({ callId, reply }) => this.settle(callId, ok(reply)));
  }

  protected fail(reason: string): void {
    if (this.hasFailed) return;
    this.hasFailed = true;
    this.flushTimer?.dispose();
    this.waiting.forEach(({ callId }) => this.settle(callId, err({ kind: 'not-sent', reason })));
    [...this.pending.keys()].forEach((callId) =>
      this.settle(callId, err({ kind: 'lost', reason })),
    );
    this.failedEmitter.fire(reason);
  }

  private flush(): void {
    this.flushTimer = undefined;
    if (!this.relayTime || this.hasFailed) return;
    const batch = { echo: this.relayTime, calls: this.waiting, forgotten: this.forgotten };
    this.waiting = [];
    this.forgotten = [];
    this.transmit(batch);
  }

  /** Looks for a silent relay and for calls without a reply; one timer for all calls costs less. */
  private check(): void {
    const nowMs = this.clock.monotonicMs();
    const hasStalled = nowMs - this.checkedMs > 2 * CHECK_MS;
    this.checkedMs = nowMs;
    // After a stall of this process there may be replies that have not been read yet.
    if (hasStalled) this.receivedMs = Math.max(this.receivedMs, nowMs - MAX_SILENCE_MS / 2);
    if (!this.isOpen || hasStalled) return;
    if (nowMs - this.receivedMs > MAX_SILENCE_MS) {
      this.fail('silent');
      return;
    }
    const overdue = [...this.pending].filter(([, { dueMs }]) => nowMs >= dueMs);
    overdue.forEach(([callId]) => this.settle(callId, err({ kind: 'lost', reason: 'timeout' })));
    if (overdue.length >= MIN_OVERDUE_OF_SLOW) this.fail('slow');
  }

  private settle(callId: number, result: Result<TargetReply, RelayFailure>): void {
    const call = this.pending.get(callId);
    if (!call) return;
    this.pending.delete(callId);
    call.settle(result);
  }
}
