/**
 * Performs idempotent calls to the store and repeats each while its answer is overdue, so that a lost
 * answer costs a few answer times rather than the time limit of a call. Earlier attempts stay in
 * flight: if the store is slow, the first of them still settles the call.
 */
import { type Clock } from '@acaciadock/core';
import { type Result } from 'neverthrow';
import { AnswerTimeEstimate } from './AnswerTimeEstimate.js';
import { type LogFailure } from './RecordLog.js';
import { RepeatedCall } from './RepeatedCall.js';

/** One attempt of a call; it is aborted if another attempt settles the call first. */
export type CallAttempt<T> = (signal: AbortSignal) => Promise<Result<T, LogFailure>>;

export class CallRepeater {
  private readonly estimate = new AnswerTimeEstimate();

  constructor(private readonly clock: Clock) {}

  /** Time after which the answer to a small call is overdue, in milliseconds. */
  get overdueMs(): number {
    return this.estimate.overdueMs(0);
  }

  /**
   * Resolves with the first answer. The failure is `rejected` only if no attempt can have had an
   * effect. `sentBytes` is the size of the call's body.
   */
  call<T>(attempt: CallAttempt<T>, sentBytes = 0): Promise<Result<T, LogFailure>> {
    return new Promise((resolve) => {
      new RepeatedCall(attempt, sentBytes, this.estimate, this.clock, resolve).send();
    });
  }
}
