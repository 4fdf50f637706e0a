/** Tests which tasks may get a copy and how many copies a pool may have. */
import { describe, it } from '@acaciadock/core/testing';
import { type StepSpec, stepSpecSchema } from '@acaciadock/jobs';
import { type CopyCandidate, CopyPolicy } from './CopyPolicy.js';

function candidate(change: Partial<CopyCandidate> = {}, spec: Partial<StepSpec> = {}) {
  const step = stepSpecSchema.parse({ taskCount: 1, speculative: true, ...spec });
  return { step, isDone: false, runCount: 1, failures: 0, maxAttempts: 1, ...change };
}

describe('CopyPolicy', () => {
  it('permits a copy only to steps that ask for it and are neither gang nor long-running', (t) => {
    t.ok(CopyPolicy.mayCopy(candidate()));
    t.notOk(CopyPolicy.mayCopy(candidate({}, { speculative: false })));
    t.notOk(CopyPolicy.mayCopy(candidate({}, { gang: true })));
    t.notOk(CopyPolicy.mayCopy(candidate({}, { longRunning: true })));
  });

  it('permits one copy of a task that is not done and has attempts left', (t) => {
    t.notOk(CopyPolicy.mayCopy(candidate({ runCount: 2 })));
    t.notOk(CopyPolicy.mayCopy(candidate({ runCount: 0 })), 'it waits, so it needs no copy');
    t.notOk(CopyPolicy.mayCopy(candidate({ isDone: true })));
    t.notOk(CopyPolicy.mayCopy(candidate({ failures: 1 })));
  });

  it('waits for a second missed report unless three targets of the rack are silent', (t) => {
    t.same(
      [1, 2].map((missed) => CopyPolicy.isSilent(missed, 2)),
      [false, true],
    );
    t.same(
      [0, 1].map((missed) => CopyPolicy.isSilent(missed, 3)),
      [false, true],
    );
  });

  it('keeps copies within a tenth of the running tasks, rounded up', (t) => {
    t.same(
      [0, 1, 10, 11, 100].map((running) => CopyPolicy.budget(running, 0)),
      [0, 1, 1, 2, 10],
    );
    t.equal(CopyPolicy.budget(20, 3), 0);
  });
});
