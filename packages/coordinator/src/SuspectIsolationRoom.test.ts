/**
 * Guards against suspects that wait for each other or for busy targets while others are free, and
 * against targets that stay kept for suspects although much other work waits.
 */
import { describe, it } from '@acaciadock/core/testing';
import { type Job } from '@acaciadock/jobs';
import { type PlacementRequest } from '@acaciadock/placement';
import { SuspectIsolation } from './SuspectIsolation.js';
import { RunFixture, TARGET_CPU_MILLI } from './testing/RunFixture.js';

const PASS_MS = 100;

function requestFor(job: Job): PlacementRequest {
  const step = job.occurrences.get(0)!.steps[0]!;
  return { step: step.spec, stepId: step.stepId, avoidTargetId: '', onlyRackId: '' };
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

interface Pass {
  readonly jobs: readonly Job[];
  readonly otherSteps: number;
}

/** Runs a pass over the pool in which each of the jobs asks once, and starts what may start. */
function pass(isolation: SuspectIsolation, fixture: RunFixture, { jobs, otherSteps }: Pass): Job[] {
  const openTargets = fixture.all.length;
  isolation.beginPass('pool', { suspectJobs: jobs.length, otherSteps, openTargets });
  return jobs.filter((job) => {
    if (!job.occurrences.get(0)!.steps[0]!.tasks.some((task) => task.isWaiting)) return false;
    const target = isolation.targetFor(job, requestFor(job), fixture.all);
    const index = job.occurrences.get(0)!.steps[0]!.tasks.findIndex((task) => task.isWaiting);
    if (target) fixture.start(job, target.targetId, index);
    return target !== undefined;
  });
}

function keptCount(fixture: RunFixture): number {
  return fixture.all.filter(({ isIsolated }) => isIsolated).length;
}

describe('SuspectIsolation, with room in the pool', () => {
  it('starts a suspect though the passes are late', (t) => {
    // Fails if a target is opened again before the pass that could use it.
    const fixture = new RunFixture(3);
    const isolation = new SuspectIsolation(fixture.clock);
    const jobs = [suspect(fixture, 'a')];
    const started = Array.from({ length: 10 }, () => {
      fixture.clock.advance(300);
      return pass(isolation, fixture, { jobs, otherSteps: 0 }).length;
    });
    t.equal(
      started.find((count) => count > 0),
      1,
    );
  });

  it('does not wait for a busy target while others are free', (t) => {
    // Fails if the tasks of one job start on one target alone, whatever room it has.
    const fixture = new RunFixture(6);
    const isolation = new SuspectIsolation(fixture.clock);
    const jobs = [suspect(fixture, 'a', { taskCount: 4, cpuMilli: TARGET_CPU_MILLI })];
    let started = 0;
    for (let index = 0; index < 50 && started < 4; index += 1) {
      started += pass(isolation, fixture, { jobs, otherSteps: 0 }).length;
      fixture.work(PASS_MS);
    }
    t.equal(started, 4, 'within five seconds');
  });

  it('opens targets again beyond the permitted part when other work arrives', (t) => {
    // Fails if the maximum only limits which targets are kept anew.
    const fixture = new RunFixture(9);
    const isolation = new SuspectIsolation(fixture.clock);
    const jobs = Array.from({ length: 60 }, (_, index) =>
      suspect(fixture, `a${index}`, { cpuMilli: 100 }),
    );
    const waiting = (): Job[] =>
      jobs.filter((job) => job.occurrences.get(0)!.steps[0]!.tasks[0]!.isWaiting);
    pass(isolation, fixture, { jobs, otherSteps: 0 });
    t.equal(keptCount(fixture), 9);
    fixture.work(PASS_MS);
    pass(isolation, fixture, { jobs: waiting(), otherSteps: 1_000 });
    for (let index = 0; index < 4; index += 1) {
      fixture.work(PASS_MS);
      pass(isolation, fixture, { jobs: waiting(), otherSteps: 1_000 });
    }
    t.ok(waiting().length >= 12, 'suspects still wait');
    t.ok(keptCount(fixture) <= 3, `${keptCount(fixture)} of 9 targets are kept`);
  });
});
