/** Tests which runs are classified as stragglers. */
import { describe, it } from '@acaciadock/core/testing';
import { type RunProgress, type SlowRunEvidence, StragglerDetector } from './StragglerDetector.js';

function run(change: Partial<RunProgress> = {}): RunProgress {
  return {
    elapsedMs: 1_000,
    sinceProgressMs: 300,
    sinceReportMs: 300,
    percent: 50,
    expectedMs: 1_000,
    ...change,
  };
}

describe('StragglerDetector', () => {
  const cases = [
    { name: 'a run at the expected pace', change: {}, verdict: 'sound' },
    {
      name: 'no progress over two reports',
      change: { sinceProgressMs: 2_500 },
      verdict: 'stalled',
    },
    {
      name: 'a target without a recent report',
      change: { sinceProgressMs: 4_000, sinceReportMs: 3_000 },
      verdict: 'sound',
    },
    { name: 'a run at a fraction of the expected pace', change: { percent: 10 }, verdict: 'slow' },
    {
      name: 'a job that takes twice as long as others',
      change: { percent: 35, elapsedMs: 900 },
      verdict: 'sound',
    },
    { name: 'too early to tell', change: { percent: 5, elapsedMs: 300 }, verdict: 'sound' },
    {
      name: 'a run that has reported 100 percent',
      change: { percent: 100, sinceProgressMs: 9_000 },
      verdict: 'sound',
    },
  ];
  cases.forEach(({ name, change, verdict }) => {
    it(`${name}: ${verdict}`, (t) => {
      t.equal(StragglerDetector.classify(run(change)), verdict);
    });
  });

  const slow: SlowRunEvidence = {
    targetSlowdown: 3,
    tail: 'heavy',
    percent: 40,
    checkpointPercent: 0,
  };
  const restarts = [
    { name: 'a slow target', change: {}, isRestarted: true },
    { name: 'a sound target', change: { targetSlowdown: 1.2 }, isRestarted: false },
    { name: 'too little evidence', change: { targetSlowdown: undefined }, isRestarted: false },
    {
      name: 'a queue without a tail',
      change: { targetSlowdown: 1.2, tail: 'negligible' as const },
      isRestarted: true,
    },
    { name: 'a new run that would end later', change: { percent: 70 }, isRestarted: false },
    {
      name: 'a new run that resumes from a checkpoint',
      change: { percent: 70, checkpointPercent: 60 },
      isRestarted: true,
    },
  ];
  restarts.forEach(({ name, change, isRestarted }) => {
    it(`${name}: ${isRestarted ? 'restart' : 'no restart'} of a slow run`, (t) => {
      t.equal(StragglerDetector.shouldRestart({ ...slow, ...change }), isRestarted);
    });
  });
});
