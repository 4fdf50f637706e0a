import { describe, it } from '@acaciadock/core/testing';
import fc from 'fast-check';
import { InvalidTransition } from './InvalidTransition.js';
import { type AttemptVerdict, RequestState } from './RequestState.js';

const SEED = 5_001;
const RUNS = 3_000;

interface Attempt {
  /** Whether sending started before the attempt ended. */
  readonly sent: boolean;
  readonly verdict: AttemptVerdict;
}

const attempts = fc.array(
  fc.record({
    sent: fc.boolean(),
    verdict: fc.constantFrom<AttemptVerdict>('not-run', 'ran', 'ambiguous'),
  }),
  { maxLength: 6 },
);

/** Makes the planned attempts while another one may be queued; returns those that were made. */
function drive(state: RequestState, planned: readonly Attempt[]): Attempt[] {
  const made: Attempt[] = [];
  planned.forEach(({ sent, verdict }) => {
    if (!state.mayQueue) return;
    state.queue();
    state.grant();
    if (sent) state.send();
    const actual = sent ? verdict : 'not-run';
    state.endAttempt(actual);
    made.push({ sent, verdict: actual });
  });
  return made;
}

describe('RequestState', () => {
  describe('executed', () => {
    const cases: readonly [string, readonly AttemptVerdict[], string][] = [
      ['no attempt', [], 'no'],
      ['refused twice', ['not-run', 'not-run'], 'no'],
      ['truncated, then refused', ['ambiguous', 'not-run'], 'unknown'],
      ['failed, then truncated', ['ran', 'ambiguous'], 'yes'],
      ['truncated, then failed', ['ambiguous', 'ran'], 'yes'],
    ];
    cases.forEach(([name, verdicts, executed]) => {
      it(`is ${executed} after: ${name}`, (t) => {
        const state = new RequestState(true, 10);
        drive(
          state,
          verdicts.map((verdict) => ({ sent: true, verdict })),
        );
        t.equal(state.executed(), executed);
        t.equal(state.end(), executed);
      });
    });

    it('is unknown while a send is in flight', (t) => {
      const state = new RequestState(false, 1);
      state.queue();
      state.grant();
      t.equal(state.executed(), 'no');
      state.send();
      t.equal(state.end(), 'unknown');
    });

    it('is no if and only if no attempt can have run', (t) => {
      fc.assert(
        fc.property(attempts, fc.boolean(), (planned, idempotent) => {
          const state = new RequestState(idempotent, 6);
          const made = drive(state, planned);
          const nothingRan = made.every(({ verdict }) => verdict === 'not-run');
          return (state.end() === 'no') === nothingRan;
        }),
        { seed: SEED, numRuns: RUNS },
      );
      t.pass(`seed ${SEED}`);
    });
  });

  describe('mayQueue', () => {
    it('is false for a non-idempotent request that may have run', (t) => {
      fc.assert(
        fc.property(attempts, (planned) => {
          const state = new RequestState(false, 6);
          const made = drive(state, planned);
          const mayHaveRun = made.filter(({ verdict }) => verdict !== 'not-run');
          return mayHaveRun.length <= 1 && (mayHaveRun.length === 0 || !state.mayQueue);
        }),
        { seed: SEED, numRuns: RUNS },
      );
      t.pass(`seed ${SEED}`);
    });

    it('is false once all attempts are used', (t) => {
      const state = new RequestState(true, 2);
      t.equal(drive(state, Array(5).fill({ sent: true, verdict: 'ambiguous' })).length, 2);
    });
  });

  describe('transitions', () => {
    const events = {
      queue: (state: RequestState) => state.queue(),
      grant: (state: RequestState) => state.grant(),
      send: (state: RequestState) => state.send(),
      over: (state: RequestState) => state.endAttempt('ambiguous'),
      end: (state: RequestState) => {
        state.end();
      },
    };
    const allowed: Readonly<Record<string, readonly string[]>> = {
      accepted: ['queue', 'end'],
      queued: ['grant', 'end'],
      granted: ['send', 'end'],
      sent: ['over', 'end'],
      ended: [],
    };

    it('are allowed in the documented order only', (t) => {
      const names = Object.keys(events) as (keyof typeof events)[];
      fc.assert(
        fc.property(fc.array(fc.constantFrom(...names), { maxLength: 20 }), (sequence) => {
          const state = new RequestState(true, 100);
          return sequence.every((name) => {
            const mayStep = allowed[state.phase]?.includes(name) ?? false;
            try {
              events[name](state);
              return mayStep;
            } catch (cause) {
              return !mayStep && cause instanceof InvalidTransition;
            }
          });
        }),
        { seed: SEED, numRuns: RUNS },
      );
      t.pass(`seed ${SEED}`);
    });
  });
});
