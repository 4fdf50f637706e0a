/**
 * State machine of one request over all its attempts: accepted → queued → granted → sent, back to
 * accepted for another attempt, and finally ended. `executed` combines the verdicts of all
 * attempts; nothing else in the gateway may report `no` for a request that was accepted.
 */
import { type Executed } from '@acaciadock/core';
import { InvalidTransition } from './InvalidTransition.js';

export type RequestPhase = 'accepted' | 'queued' | 'granted' | 'sent' | 'ended';

/** Whether one attempt ran the work, as far as is known after its end. */
export type AttemptVerdict =
  /** No byte was sent, or the target itself reported that it did not run the work. */
  | 'not-run'
  /** The target reported that it ran the work. */
  | 'ran'
  /** Some bytes may have been sent, and the target did not report whether it ran the work. */
  | 'ambiguous';

const EXECUTED: Readonly<Record<AttemptVerdict, Executed>> = {
  'not-run': 'no',
  ran: 'yes',
  ambiguous: 'unknown',
};

/** From weakest to strongest. */
const STRENGTH_ORDER: readonly Executed[] = ['no', 'unknown', 'yes'];

/** Returns the stronger of two findings: a later attempt cannot undo a run of an earlier one. */
function strongerFinding(earlier: Executed, later: Executed): Executed {
  return STRENGTH_ORDER.indexOf(earlier) >= STRENGTH_ORDER.indexOf(later) ? earlier : later;
}

export class RequestState {
  private current: RequestPhase = 'accepted';

  private executedSoFar: Executed = 'no';

  private attemptCount = 0;

  constructor(
    private readonly idempotent: boolean,
    private readonly maxAttempts: number,
  ) {}

  get phase(): RequestPhase {
    return this.current;
  }

  /** Number of attempts queued so far. */
  get attempts(): number {
    return this.attemptCount;
  }

  /** Whether another attempt may be queued now. */
  get mayQueue(): boolean {
    if (this.current !== 'accepted' || this.attemptCount >= this.maxAttempts) return false;
    return this.idempotent || this.executedSoFar === 'no';
  }

  queue(): void {
    if (!this.mayQueue) throw new InvalidTransition(this.current, 'queue');
    this.attemptCount += 1;
    this.current = 'queued';
  }

  grant(): void {
    this.step('queued', 'granted');
  }

  /** Marks the start of sending: from now on the target may have received bytes. */
  send(): void {
    this.step('granted', 'sent');
  }

  /** Ends the attempt. An attempt that was granted but not sent must be `not-run`. */
  endAttempt(verdict: AttemptVerdict): void {
    if (this.current === 'granted' && verdict !== 'not-run') {
      throw new InvalidTransition(this.current, verdict);
    }
    if (this.current !== 'granted' && this.current !== 'sent') {
      throw new InvalidTransition(this.current, 'endAttempt');
    }
    this.executedSoFar = strongerFinding(this.executedSoFar, EXECUTED[verdict]);
    this.current = 'accepted';
  }

  /** Whether the work ran in any attempt, as far as is known now. */
  executed(): Executed {
    return this.current === 'sent'
      ? strongerFinding(this.executedSoFar, 'unknown')
      : this.executedSoFar;
  }

  /**
   * Ends the request and returns the value reported to the caller. No transition may follow.
   * `knownExecuted` is what is known apart from the attempts of this request: an earlier request
   * with the same key may have run the work.
   */
  end(knownExecuted: Executed = 'no'): Executed {
    if (this.current === 'ended') throw new InvalidTransition('ended', 'end');
    this.executedSoFar = strongerFinding(this.executed(), knownExecuted);
    this.current = 'ended';
    return this.executedSoFar;
  }

  private step(from: RequestPhase, to: RequestPhase): void {
    if (this.current !== from) throw new InvalidTransition(this.current, to);
    this.current = to;
  }
}
