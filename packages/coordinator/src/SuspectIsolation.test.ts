/**
 * Guards against suspects of a crash that are started beside tasks that may be the cause as well,
 * that wait for ever, or that keep targets from everybody else.
 */
import { describe, it } from '@acaciadock/core/testing';
import { type Job } from '@acaciadock/jobs';
import { type PlacementRequest } from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { SuspectIsolation } from './SuspectIsolation.js';
import { RunFixture, TARGET_CPU_MILLI } from './testing/RunFixture.js';

function requestFor(job: Job): PlacementRequest {
  const step = job.occurrences.get(0)!.steps[0]!;
  return { step: step.spec, stepId: step.stepId, avoidTargetId: '', onlyRackId: '' };
}

function createIsolation(fixture: RunFixture): SuspectIsolation {
  return new SuspectIsolation(fixture.jobs, (target) => target.isOpen(fixture.clock.monotonicMs()));
}

function suspect(
  fixture: RunFixture,
  jobId: string,
  step: Parameters<RunFixture['accept']>[1] = {},
): Job {
  const job = fixture.accept(jobId, step);
  job.occurrences.get(0)?.steps[0]?.tasks.forEach((task) => task.markSuspected());
  return job;
}

/** The second call finds the target that the first one has kept. */
function isolate(
  isolation: SuspectIsolation,
  fixture: RunFixture,
  job: Job,
): FleetTarget | undefined {
  isolation.targetFor(job, requestFor(job), fixture.all);
  return isolation.targetFor(job, requestFor(job), fixture.all);
}

describe('SuspectIsolation', () => {
  it('keeps an idle target for the job, which nobody else may use', (t) => {
    const fixture = new RunFixture(3);
    const isolation = createIsolation(fixture);
    fixture.start(fixture.accept('other'), 't0');
    const kept = isolate(isolation, fixture, suspect(fixture, 'a'));
    t.equal(kept?.targetId, 't1');
    t.same(
      isolation.shared(fixture.all).map(({ targetId }) => targetId),
      ['t0', 't2'],
    );
  });

  it('waits until all other runs there have been at work for a while', (t) => {
    const fixture = new RunFixture(1);
    const isolation = createIsolation(fixture);
    fixture.start(fixture.accept('other'), 't0');
    const job = suspect(fixture, 'a');
    t.equal(isolate(isolation, fixture, job), undefined);
    fixture.work(1_000);
    t.equal(isolation.targetFor(job, requestFor(job), fixture.all)?.targetId, 't0');
  });

  it('waits for room on a busy target instead of giving up on it', (t) => {
    const fixture = new RunFixture(1);
    const isolation = createIsolation(fixture);
    const full = fixture.start(fixture.accept('other', { cpuMilli: TARGET_CPU_MILLI }), 't0');
    fixture.work(1_000);
    const job = suspect(fixture, 'a');
    t.equal(isolate(isolation, fixture, job), undefined);
    t.same(isolation.shared(fixture.all), [], 'no new task delays it');
    void fixture.runTracker.finish(full, 'done', '');
    t.equal(isolation.targetFor(job, requestFor(job), fixture.all)?.targetId, 't0');
  });

  it('uses a slow target once only long-running tasks are left there', (t) => {
    const fixture = new RunFixture(1);
    const isolation = createIsolation(fixture);
    fixture.target('t0').weight = 0.25;
    fixture.start(fixture.accept('lasting', { longRunning: true }), 't0');
    const short = fixture.start(fixture.accept('other'), 't0');
    fixture.work(1_000);
    const job = suspect(fixture, 'a', { cpuMilli: TARGET_CPU_MILLI / 2 });
    t.equal(isolate(isolation, fixture, job), undefined);
    void fixture.runTracker.finish(short, 'done', '');
    t.equal(isolation.targetFor(job, requestFor(job), fixture.all)?.targetId, 't0');
  });

  it('keeps at most a third of the targets, each for one job', (t) => {
    const fixture = new RunFixture(6);
    const isolation = createIsolation(fixture);
    const kept = ['a', 'b', 'c']
      .map((jobId) => isolate(isolation, fixture, suspect(fixture, jobId)))
      .map((target) => target?.targetId);
    t.same(kept, ['t0', 't1', undefined]);
  });

  it('opens the target again once its job is no suspect any more', (t) => {
    const fixture = new RunFixture(1);
    const isolation = createIsolation(fixture);
    const job = suspect(fixture, 'a');
    isolate(isolation, fixture, job);
    job.find(0, 0, 0)?.task.clearSuspicion(false);
    isolation.refresh();
    t.equal(isolation.shared(fixture.all).length, 1);
  });

  it('opens the target again once its job has finished or the target is closed', (t) => {
    const fixture = new RunFixture(6);
    const isolation = createIsolation(fixture);
    const [a, b] = ['a', 'b'].map((jobId) => suspect(fixture, jobId));
    isolate(isolation, fixture, a!);
    isolate(isolation, fixture, b!);
    a!.finish('cancelled', 0);
    Object.assign(fixture.target('t1'), { consecutiveFailures: 1 });
    isolation.refresh();
    t.same(
      fixture.all.filter(({ isolatedJobId }) => isolatedJobId !== ''),
      [],
    );
  });

  it('takes another target if the task may not share the one that is kept', (t) => {
    const fixture = new RunFixture(3);
    const isolation = createIsolation(fixture);
    const job = suspect(fixture, 'a', { taskCount: 2, longRunning: true, mostPerTarget: 1 });
    const first = isolate(isolation, fixture, job)!;
    fixture.start(job, first.targetId);
    isolation.targetFor(job, requestFor(job), fixture.all);
    const second = isolation.targetFor(job, requestFor(job), fixture.all);
    t.ok(second && second !== first, 'no task waits for a target that can never take it');
  });
});
