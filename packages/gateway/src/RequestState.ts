/**
 * The states of one request over all its attempts: accepted → queued → granted → sent, back to
 * accepted for another attempt, and at last ended. `executed` is the only place of the gateway
 * that may say `no` of a request that was accepted; it folds the verdicts of all attempts.
 */
import { type Executed } from '@acaciadock/core';
import { InvalidTransition } from './InvalidTransition.js';

export type RequestPhase = 'accepted' | 'queued' | 'granted' | 'sent' | 'ended';

/** What is known of one attempt after its end. */
export type AttemptVerdict =
  /** No byte left, or the target said itself that it did not run the work. */
  | 'not-run'
  /** The target said that it ran the work. */
  | 'ran'
  /** A byte may have left and the target did not say. */
  | 'ambiguous';

const EXECUTED: Readonly<Record<AttemptVerdict, Executed>> = {
  'not-run': 'no',
  ran: 'yes',
  ambiguous: 'unknown',
};

const CERTAINTY: readonly Executed[] = ['no', 'unknown', 'yes'];

/** Once a byte may have run the work, no later attempt takes that back. */
function fold(earlier: Executed, later: Executed): Executed {
  return CERTAINTY.indexOf(earlier) >= CERTAINTY.indexOf(later) ? earlier : later;
}

export class RequestState {
  private current: RequestPhase = 'accepted';

  private folded: Executed = 'no';

  private attemptCount = 0;

  constructor(
    private readonly idempotent: boolean,
    private readonly maxAttempts: number,
  ) {}

  get phase(): RequestPhase {
    return this.current;
  }

  /** Attempts that were queued so far. */
  get attempts(): number {
    return this.attemptCount;
  }

  /** Whether another attempt may be queued now. */
  get mayTry(): boolean {
    if (this.current !== 'accepted' || this.attemptCount >= this.maxAttempts) return false;
    return this.idempotent || this.folded === 'no';
  }

  queue(): void {
    if (!this.mayTry) throw new InvalidTransition(this.current, 'queue');
    this.attemptCount += 1;
    this.current = 'queued';
  }

  grant(): void {
    this.step('queued', 'granted');
  }

  /** From here on a byte may have left. */
  send(): void {
    this.step('granted', 'sent');
  }

  /** The attempt is over. A granted one that was not sent has not run. */
  attemptOver(verdict: AttemptVerdict): void {
    if (this.current === 'granted' && verdict !== 'not-run') {
      throw new InvalidTransition(this.current, verdict);
    }
    if (this.current !== 'granted' && this.current !== 'sent') {
      throw new InvalidTransition(this.current, 'attemptOver');
    }
    this.folded = fold(this.folded, EXECUTED[verdict]);
    this.current = 'accepted';
  }

  /** Whether the work ran, over all attempts, as far as is known now. */
  executed(): Executed {
    return this.current === 'sent' ? fold(this.folded, 'unknown') : this.folded;
  }

  /**
   * Ends the request and returns what the caller is told. Nothing may follow. `atLeast` is what
   * is known besides the attempts of this request: that an earlier one may have run the work.
   */
  end(atLeast: Executed = 'no'): Executed {
    if (this.current === 'ended') throw new InvalidTransition('ended', 'end');
    this.folded = fold(this.executed(), atLeast);
    this.current = 'ended';
    return this.folded;
  }

  private step(from: RequestPhase, to: RequestPhase): void {
    if (this.current !== from) throw new InvalidTransition(this.current, to);
    this.current = to;
  }
}
