/** Guards against suspects that wait for long without a line that says so. */
import { describe, it } from '@acaciadock/core/testing';
import { type QueuedStep } from './QueuedStep.js';
import { SuspectBacklog } from './SuspectBacklog.js';
import { RunFixture } from './testing/RunFixture.js';

const SUSPECTS_WAITING = 'suspects-waiting';

/** A queued step of two tasks, of which the first is a suspect. */
function queuedStep(fixture: RunFixture, jobId: string, isSuspect: boolean): QueuedStep {
  const job = fixture.accept(jobId, { taskCount: 2 });
  const step = job.occurrences.get(0)!.steps[0]!;
  if (isSuspect) step.tasks[0]!.markSuspected();
  return { entry: fixture.jobs.get(jobId)!, step } as unknown as QueuedStep;
}

describe('SuspectBacklog', () => {
  it('logs the suspects that wait, and for how long, at most once a second', (t) => {
    const fixture = new RunFixture(3);
    const backlog = new SuspectBacklog(fixture.clock, fixture.logger);
    const steps = [queuedStep(fixture, 'a', true), queuedStep(fixture, 'b', false)];
    Object.assign(fixture.target('t0'), { isIsolated: true });
    for (let round = 0; round < 4; round += 1) {
      backlog.record('pool', steps, fixture.all);
      fixture.clock.advance(500);
    }
    const common = { poolId: 'pool', jobs: 1, tasks: 1, openTargets: 3, isolatedTargets: 1 };
    t.same(fixture.logger.of(SUSPECTS_WAITING), [
      { ...common, oldestMs: 0, sinceClaimMs: 0 },
      { ...common, oldestMs: 1_000, sinceClaimMs: 1_000 },
    ]);
    t.equal(backlog.jobCount('pool'), 1);
  });

  it('counts the wait anew after each run of the task', (t) => {
    const fixture = new RunFixture(1);
    const backlog = new SuspectBacklog(fixture.clock, fixture.logger);
    const steps = [queuedStep(fixture, 'a', true)];
    backlog.record('pool', steps, fixture.all);
    fixture.clock.advance(1_000);
    steps[0]!.step.tasks[0]!.lastRun += 1;
    backlog.record('pool', steps, fixture.all);
    t.same(
      fixture.logger.of(SUSPECTS_WAITING).map(({ oldestMs }) => oldestMs),
      [0, 0],
    );
  });

  it('logs how long the owner has seen waits, as those from before its claim start anew', (t) => {
    // Fails if the line of a new owner reads as though nothing had waited for longer.
    const fixture = new RunFixture(1);
    const steps = [queuedStep(fixture, 'a', true)];
    new SuspectBacklog(fixture.clock, fixture.logger).record('pool', steps, fixture.all);
    fixture.clock.advance(5_000);
    const successor = new SuspectBacklog(fixture.clock, fixture.logger);
    fixture.clock.advance(1_000);
    successor.record('pool', steps, fixture.all);
    t.match(fixture.logger.of(SUSPECTS_WAITING).at(-1), { oldestMs: 0, sinceClaimMs: 1_000 });
  });

  it('is empty once no suspect waits', (t) => {
    const fixture = new RunFixture(1);
    const backlog = new SuspectBacklog(fixture.clock, fixture.logger);
    backlog.record('pool', [queuedStep(fixture, 'a', true)], fixture.all);
    backlog.record('pool', [], fixture.all);
    t.equal(backlog.jobCount('pool'), 0);
    t.equal(fixture.logger.of(SUSPECTS_WAITING).length, 1);
  });
});
