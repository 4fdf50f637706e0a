import { Random } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { OutlierEjection } from './OutlierEjection.js';

const TARGETS = ['t0', 't1', 't2', 't3', 't4', 't5', 't6', 't7'];

function healthOf(maxEjected = 4): OutlierEjection {
  const health = new OutlierEjection(new Random(7));
  health.configure(TARGETS, maxEjected);
  return health;
}

function fail(health: OutlierEjection, targetId: string, count = 1, nowMs = 0): void {
  Array.from({ length: count }, () =>
    health.record({ targetId, succeeded: false, previousTargetIds: [] }, nowMs),
  );
}

describe('OutlierEjection', () => {
  it('ejects a target that fails while the others do not', (t) => {
    const health = healthOf();
    fail(health, 't0', 3);
    t.notOk(health.isEjected('t0'));
    fail(health, 't0');
    t.ok(health.isEjected('t0'));
  });

  it('ejects a target that fails most of its runs, but not consecutively', (t) => {
    const health = healthOf();
    for (let run = 0; run < 60 && !health.isEjected('t0'); run += 1) {
      fail(health, 't0', 2);
      health.record({ targetId: 't0', succeeded: true, previousTargetIds: [] }, 0);
      health.record({ targetId: 't1', succeeded: true, previousTargetIds: [] }, 0);
    }
    t.ok(health.isEjected('t0'));
  });

  it('ejects no target when all fail at the same rate', (t) => {
    const health = healthOf();
    Array.from({ length: 100 }, () => TARGETS.forEach((targetId) => fail(health, targetId)));
    t.equal(health.ejectedCount, 0);
  });

  it('never ejects more targets than the limit', (t) => {
    const health = healthOf(2);
    ['t0', 't1', 't2'].forEach((targetId) => fail(health, targetId, 20));
    t.equal(health.ejectedCount, 2);
  });

  it('reverts the first failure of a request that also fails on other targets', (t) => {
    const health = healthOf();
    Array.from({ length: 50 }, () => {
      fail(health, 't0');
      health.record({ targetId: 't1', succeeded: false, previousTargetIds: ['t0'] }, 0);
      return health.record(
        { targetId: 't2', succeeded: false, previousTargetIds: ['t0', 't1'] },
        0,
      );
    });
    t.equal(health.ejectedCount, 0);
  });

  it('starts one trial at a time after a growing backoff, and restores the target on success', (t) => {
    const health = healthOf();
    fail(health, 't0', 4);
    t.same(health.dueForTrial(3_000), []);
    t.same(health.dueForTrial(6_100), ['t0']);
    t.same(health.dueForTrial(6_200), [], 'one trial at a time');
    fail(health, 't0', 1, 6_300);
    t.same(health.dueForTrial(6_300 + 6_100), [], 'the backoff has doubled');
    t.same(health.dueForTrial(6_300 + 12_100), ['t0']);
    const change = health.record(
      { targetId: 't0', succeeded: true, previousTargetIds: [] },
      20_000,
    );
    t.equal(change, 'restored');
    t.notOk(health.isEjected('t0'));
  });

  it('does not count a run granted before the ejection as the trial', (t) => {
    const health = healthOf();
    fail(health, 't0', 4);
    health.record({ targetId: 't0', succeeded: true, previousTargetIds: [] }, 10);
    t.ok(health.isEjected('t0'));
  });
});
