/** One call to the store with its attempts in flight; see `CallRepeater`. */
import { type Clock, type IDisposable } from '@acaciadock/core';
import { setMaxListeners } from 'node:events';
import { err, type Result } from 'neverthrow';
import { type AnswerTimeEstimate } from './AnswerTimeEstimate.js';
import { type CallAttempt } from './CallRepeater.js';
import { type LogFailure } from './RecordLog.js';

/** The wait for an answer doubles with each such number of attempts. */
const ATTEMPTS_PER_WAIT = 2;

/**
 * Doubling ends here, in milliseconds: a store that loses many answers loses those of several
 * attempts in a row.
 */
const MAX_DOUBLED_MS = 160;

export class RepeatedCall<T> {
  private readonly abortController = new AbortController();

  private attempts = 0;

  private isSettled = false;

  private overdueMs: number;

  private repeatTimer: IDisposable | undefined;

  constructor(
    private readonly attempt: CallAttempt<T>,
    sentBytes: number,
    private readonly estimate: AnswerTimeEstimate,
    private readonly clock: Clock,
    private readonly settle: (result: Result<T, LogFailure>) => void,
  ) {
    this.overdueMs = estimate.overdueMs(sentBytes);
    // Every attempt listens; the default limit of ten warns of a leak.
    setMaxListeners(0, this.abortController.signal);
  }

  /** Sends an attempt, and another one once its answer is overdue. */
  send(): void {
    if (this.isSettled) return;
    const sentMs = this.clock.monotonicMs();
    this.attempts += 1;
    void this.attempt(this.abortController.signal).then((result) => this.onAnswer(result, sentMs));
    this.repeatTimer = this.clock.after(this.overdueMs, () => this.send());
    if (this.attempts % ATTEMPTS_PER_WAIT > 0) return;
    this.overdueMs = Math.max(this.overdueMs, Math.min(this.overdueMs * 2, MAX_DOUBLED_MS));
  }

  private onAnswer(result: Result<T, LogFailure>, sentMs: number): void {
    if (this.isSettled) return;
    if (result.isErr() && result.error.kind === 'rejected') {
      // An earlier attempt that is still in flight may have had an effect.
      const isCertain = this.attempts === 1;
      this.finish(isCertain ? result : RepeatedCall.toUnknown(result.error.detail));
      return;
    }
    if (result.isOk() || result.error.kind !== 'unknown-outcome') {
      this.estimate.record(this.clock.monotonicMs() - sentMs);
    }
    this.finish(result);
  }

  private finish(result: Result<T, LogFailure>): void {
    this.isSettled = true;
    this.repeatTimer?.dispose();
    // Without a reason of its own, each call would create an exception with a stack trace.
    this.abortController.abort('settled');
    this.settle(result);
  }

  private static toUnknown(detail: string): Result<never, LogFailure> {
    return err({ kind: 'unknown-outcome', detail: `rejected after an attempt: ${detail}` });
  }
}
