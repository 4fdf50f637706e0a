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

function beginPass(isolation: SuspectIsolation, fixture: RunFixture, suspectJobs: number): void {
  const openTargets = fixture.all.length;
  isolation.beginPass('pool', { suspectJobs, otherSteps: 1_000, openTargets });
}

/** In a pass in which the suspects of so many jobs wait, and much other work. */
function createIsolation(fixture: RunFixture, suspectJobs = 1): SuspectIsolation {
  const isolation = new SuspectIsolation(fixture.clock);
  beginPass(isolation, fixture, suspectJobs);
  return isolation;
}

function isolatedIds(fixture: RunFixture): string[] {
  return fixture.all.filter(({ isIsolated }) => isIsolated).map(({ targetId }) => targetId);
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

/** The target is ready by the second pass, even if the first one had to keep it. */
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

  it('starts the suspects of one job after those of another on the same target', (t) => {
    const fixture = new RunFixture(1);
    const isolation = createIsolation(fixture, 2);
    const [a, b] = ['a', 'b'].map((jobId) => suspect(fixture, jobId));
    t.equal(isolate(isolation, fixture, a!)?.targetId, 't0');
    fixture.start(a!, 't0');
    t.equal(isolation.targetFor(b!, requestFor(b!), fixture.all), undefined, 'a may yet crash it');
    fixture.work(1_000);
    t.equal(isolation.targetFor(b!, requestFor(b!), fixture.all)?.targetId, 't0');
  });

  it('keeps at most a third of the targets beside other work, which may use the rest', (t) => {
    const fixture = new RunFixture(6);
    const isolation = createIsolation(fixture, 20);
    for (let index = 0; index < 20; index += 1) {
      const job = suspect(fixture, `a${index}`);
      const target = isolate(isolation, fixture, job);
      if (target) fixture.start(job, target.targetId);
    }
    t.same(isolatedIds(fixture), ['t0', 't1']);
  });

  it('keeps more targets of a large pool as more suspects wait', (t) => {
    const fixture = new RunFixture(30);
    const isolation = createIsolation(fixture, 20);
    for (let index = 0; index < 20; index += 1) {
      const job = suspect(fixture, `a${index}`);
      const target = isolate(isolation, fixture, job);
      if (target) fixture.start(job, target.targetId);
    }
    t.equal(isolatedIds(fixture).length, 10, 'each job does not wait for the others');
  });

  it('keeps a target for a task that none of those kept could take', (t) => {
    const fixture = new RunFixture(2);
    const isolation = createIsolation(fixture);
    const lasting = fixture.accept('other', { longRunning: true, cpuMilli: TARGET_CPU_MILLI });
    isolate(isolation, fixture, suspect(fixture, 'a'));
    fixture.start(lasting, 't0');
    const job = suspect(fixture, 'b');
    isolation.targetFor(job, requestFor(job), fixture.all);
    t.same(isolatedIds(fixture), ['t0', 't1'], 'it does not wait for ever');
  });

  it('opens the target again once no suspect asks for it any more', (t) => {
    const fixture = new RunFixture(1);
    const isolation = createIsolation(fixture);
    const job = suspect(fixture, 'a');
    isolate(isolation, fixture, job);
    fixture.clock.advance(100);
    beginPass(isolation, fixture, 1);
    t.equal(isolation.shared(fixture.all).length, 0, 'another pass may ask for it');
    fixture.clock.advance(300);
    beginPass(isolation, fixture, 0);
    t.equal(isolation.shared(fixture.all).length, 1);
  });

  it('stays closed to others until the suspect has been at work for a while', (t) => {
    const fixture = new RunFixture(1);
    const isolation = createIsolation(fixture);
    const job = suspect(fixture, 'a');
    fixture.start(job, isolate(isolation, fixture, job)!.targetId);
    fixture.clock.advance(1_000);
    beginPass(isolation, fixture, 0);
    t.equal(isolation.shared(fixture.all).length, 0);
    fixture.work(0);
    beginPass(isolation, fixture, 0);
    t.equal(isolation.shared(fixture.all).length, 1);
  });

  it('opens the target again if it is closed', (t) => {
    const fixture = new RunFixture(6);
    const isolation = createIsolation(fixture, 2);
    isolate(isolation, fixture, suspect(fixture, 'a'));
    t.same(isolatedIds(fixture), ['t0']);
    Object.assign(fixture.target('t0'), { consecutiveFailures: 1 });
    beginPass(isolation, fixture, 2);
    t.same(isolatedIds(fixture), []);
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
