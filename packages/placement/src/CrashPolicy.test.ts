/** Guards against blaming a task for a crash that another one, or none, has caused. */
import { describe, it } from '@acaciadock/core/testing';
import { CrashPolicy } from './CrashPolicy.js';

describe('CrashPolicy', () => {
  it('gives up no task for a single crash', (t) => {
    t.notOk(CrashPolicy.shouldGiveUp({ crashes: 1, earlyCrashes: 1, isOnlySuspect: true }));
  });

  it('gives up the only suspect of a second early crash, and none of several', (t) => {
    t.ok(CrashPolicy.shouldGiveUp({ crashes: 2, earlyCrashes: 2, isOnlySuspect: true }));
    t.notOk(CrashPolicy.shouldGiveUp({ crashes: 4, earlyCrashes: 4, isOnlySuspect: false }));
  });

  it('gives up no task that had been at work for a while when its second target crashed', (t) => {
    t.notOk(CrashPolicy.shouldGiveUp({ crashes: 2, earlyCrashes: 1, isOnlySuspect: true }));
  });

  it('permits less than three starts after the third crash, whoever is suspected', (t) => {
    t.ok(CrashPolicy.shouldGiveUp({ crashes: 5, earlyCrashes: 0, isOnlySuspect: false }));
  });

  it('counts a run as early until a report shows it at work for a while', (t) => {
    t.ok(CrashPolicy.isEarly(false, 5_000), 'its start was never answered');
    t.ok(CrashPolicy.isEarly(true, 0), 'no report has listed it');
    t.notOk(CrashPolicy.isEarly(true, 1_000));
  });
});
