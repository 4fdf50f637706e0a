/** Tests the ejection of targets whose runs fail. */
import { describe, it } from '@acaciadock/core/testing';
import { TargetHealth } from './TargetHealth.js';

function failJobs(health: TargetHealth, targetId: string, jobs: number, nowMs = 0): void {
  for (let job = 0; job < jobs; job += 1) health.note(targetId, `j${job}`, 'bad', nowMs);
}

describe('TargetHealth', () => {
  it('ejects a target on which several jobs fail in a row', (t) => {
    const health = new TargetHealth();
    failJobs(health, 't', 3);
    t.ok(health.isEjected('t', 100));
    t.notOk(health.isEjected('t', 10_000), 'ejection ends');
  });

  it('does not eject a target because one job fails repeatedly', (t) => {
    const health = new TargetHealth();
    for (let attempt = 0; attempt < 9; attempt += 1) health.note('t', 'poison', 'bad', 0);
    t.notOk(health.isEjected('t', 1));
  });

  it('starts counting anew after a success', (t) => {
    const health = new TargetHealth();
    failJobs(health, 't', 2);
    health.note('t', 'good', 'good', 0);
    failJobs(health, 't', 2);
    t.notOk(health.isEjected('t', 1));
  });

  it('doubles the ejection time on a relapse', (t) => {
    const health = new TargetHealth();
    failJobs(health, 't', 3);
    health.note('t', 'again', 'bad', 5_000);
    t.ok(health.isEjected('t', 10_000));
  });

  it('never ejects more than a third of a pool', (t) => {
    const health = new TargetHealth();
    const pool = ['a', 'b', 'c', 'd', 'e', 'f'].map((targetId) => ({ targetId }));
    pool.forEach(({ targetId }) => failJobs(health, targetId, 3));
    t.equal(health.usable(pool, 1).length, 4);
  });

  it('forgets a target that has left once its ejections no longer count', (t) => {
    // Fails if records of targets that will never return are kept as long as the owner runs.
    const health = new TargetHealth();
    failJobs(health, 'left', 3);
    failJobs(health, 'present', 3);
    const isPresent = (targetId: string): boolean => targetId === 'present';
    health.forgetDeparted(isPresent, 40_000);
    t.equal(health.recordCount, 2, 'a relapse soon after its return still counts');
    health.forgetDeparted(isPresent, 60_000);
    t.equal(health.recordCount, 1);
  });
});
