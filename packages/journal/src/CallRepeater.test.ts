/** Plays lost, slow and rejected answers of the store. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { err, ok, type Result } from 'neverthrow';
import { CallRepeater } from './CallRepeater.js';
import { type LogFailure } from './RecordLog.js';

const USUAL_ANSWER_MS = 5;
const SLOW_ANSWER_MS = 300;
const CALL_TIMEOUT_MS = 2_000;
const STEP_MS = 5;

const REJECTED: Result<string, LogFailure> = err({ kind: 'rejected', detail: 'down' });
const NO_ANSWER: Result<string, LogFailure> = err({ kind: 'unknown-outcome', detail: 'lost' });

/** What the store does with an attempt. */
interface Reaction {
  readonly afterMs: number;
  readonly result: Result<string, LogFailure>;
}

const ANSWERED: Reaction = { afterMs: USUAL_ANSWER_MS, result: ok('done') };
const LOST: Reaction = { afterMs: CALL_TIMEOUT_MS, result: NO_ANSWER };

class Fixture {
  readonly clock = new ManualClock();

  attempts = 0;

  aborted = 0;

  private readonly repeater = new CallRepeater(this.clock);

  /** Plays one call; the last reaction holds for all further attempts. */
  async play(reactions: readonly Reaction[]): Promise<{ outcome: string; tookMs: number }> {
    const startedMs = this.clock.monotonicMs();
    const first = this.attempts;
    let outcome: string | undefined;
    const call = this.repeater.call<string>((signal) => {
      const reaction = reactions[this.attempts - first] ?? reactions.at(-1) ?? LOST;
      this.attempts += 1;
      signal.addEventListener('abort', () => {
        this.aborted += 1;
      });
      return new Promise((resolve) => {
        this.clock.after(reaction.afterMs, () => resolve(reaction.result));
      });
    });
    void call.then((result) => {
      outcome = result.isOk() ? result.value : result.error.kind;
    });
    while (outcome === undefined) {
      this.clock.advance(STEP_MS);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    return { outcome, tookMs: this.clock.monotonicMs() - startedMs };
  }
}

describe('CallRepeater', () => {
  describe('when an answer is lost', () => {
    it('repeats the call after a few usual answer times', async (t) => {
      const fixture = new Fixture();
      await fixture.play([ANSWERED]);
      const { outcome, tookMs } = await fixture.play([LOST, ANSWERED]);
      t.equal(outcome, 'done');
      t.ok(tookMs <= 100, `${tookMs} ms`);
    });

    it('aborts the attempt whose answer is lost', async (t) => {
      const fixture = new Fixture();
      await fixture.play([LOST, ANSWERED]);
      t.equal(fixture.aborted, 2, 'both attempts have ended');
    });

    it('reports an unknown outcome if no attempt is answered within its time limit', async (t) => {
      const { outcome, tookMs } = await new Fixture().play([LOST]);
      t.equal(outcome, 'unknown-outcome');
      t.ok(tookMs <= CALL_TIMEOUT_MS + STEP_MS);
    });
  });

  describe('when the store becomes slow', () => {
    it('waits for its answers without repeating once it has seen some', async (t) => {
      const fixture = new Fixture();
      const slow = { afterMs: SLOW_ANSWER_MS, result: ok('done') };
      for (let call = 0; call < 10; call += 1) await fixture.play([slow]);
      const before = fixture.attempts;
      await fixture.play([slow]);
      t.equal(fixture.attempts - before, 1);
    });

    it('takes the answer to the first attempt', async (t) => {
      const fixture = new Fixture();
      await fixture.play([ANSWERED]);
      const slow = { afterMs: SLOW_ANSWER_MS, result: ok('done') };
      const { tookMs } = await fixture.play([slow]);
      t.ok(tookMs <= SLOW_ANSWER_MS + STEP_MS, `${tookMs} ms`);
    });
  });

  describe('when the store rejects the call', () => {
    it('reports a rejection if it was the only attempt', async (t) => {
      const { outcome } = await new Fixture().play([{ afterMs: 1, result: REJECTED }]);
      t.equal(outcome, 'rejected');
    });

    it('reports an unknown outcome if an earlier attempt may have had an effect', async (t) => {
      const { outcome } = await new Fixture().play([LOST, { afterMs: 1, result: REJECTED }]);
      t.equal(outcome, 'unknown-outcome');
    });
  });
});
