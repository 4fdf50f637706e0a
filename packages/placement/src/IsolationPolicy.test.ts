/** Guards against suspects that wait for each other, and against suspects that take the whole pool. */
import { describe, it } from '@acaciadock/core/testing';
import { IsolationPolicy } from './IsolationPolicy.js';

describe('IsolationPolicy', () => {
  it('keeps at most one target for each job that waits', (t) => {
    const count = (suspectJobs: number): number =>
      IsolationPolicy.maxTargets({ suspectJobs, otherSteps: 0, openTargets: 20 });
    t.same([0, 1, 4, 40].map(count), [0, 1, 4, 20]);
  });

  it('keeps at most a third of the targets while much other work waits, but at least one', (t) => {
    const count = (openTargets: number): number =>
      IsolationPolicy.maxTargets({ suspectJobs: 12, otherSteps: 1_000, openTargets });
    t.same([1, 2, 9, 30, 300].map(count), [1, 1, 3, 10, 12]);
  });

  it('keeps a part of the targets that corresponds to what waits', (t) => {
    const count = (otherSteps: number): number =>
      IsolationPolicy.maxTargets({ suspectJobs: 40, otherSteps, openTargets: 8 });
    t.same([0, 40, 400].map(count), [8, 4, 2]);
  });

  it('asks for instances in proportion to the jobs that wait', (t) => {
    t.same([0, 1, 9].map(IsolationPolicy.neededTargets), [0, 1, 5]);
  });
});
