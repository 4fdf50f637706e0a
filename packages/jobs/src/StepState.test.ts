/** Tests that what a step and a job cache of their tasks follows each change. */
import { describe, it } from '@acaciadock/core/testing';
import { Job } from './Job.js';
import { type JobDefinition, jobSpecSchema, stepSpecSchema } from './JobSpec.js';
import { StepState } from './StepState.js';

function createStep(): StepState {
  return new StepState(stepSpecSchema.parse({ taskCount: 2, cpuMilli: 100 }), 'job.0.0', 0);
}

function createJob(spec: JobDefinition['spec']): Job {
  return new Job({
    jobId: 'job',
    queueId: 'q',
    poolId: 'p',
    teamId: 't',
    priority: 0,
    maxAttempts: 2,
    stretch: 1,
    targetLatencyMs: 0,
    acceptedUnixMs: 0,
    isBeyondShare: false,
    spec,
  });
}

function waitingIndexes(step: StepState): number[] {
  return step.waitingTasks.map(({ index }) => index);
}

describe('StepState', () => {
  it('follows every change of its tasks', async (t) => {
    // Fails if a cached list outlives a change: a task would never start, or start twice.
    const step = createStep();
    t.same(waitingIndexes(step), [0, 1]);
    const { run } = step.tasks[0]!.addRun('t0', 0);
    t.same(waitingIndexes(step), [1]);
    step.tasks[0]!.removeRun(run);
    t.same(waitingIndexes(step), [0, 1]);
    step.tasks[0]!.markDone();
    t.same(waitingIndexes(step), [1]);
    t.notOk(step.isDone);
    step.tasks[1]!.markDone();
    t.ok(step.isDone);
  });

  it('follows restored progress', async (t) => {
    const step = createStep();
    t.notOk(step.isDone);
    const record = { done: true, failures: 0, lastRun: 1, checkpoint: '', runs: [] };
    step.tasks.forEach((task) => task.restore(record));
    t.ok(step.isDone);
    t.same(waitingIndexes(step), []);
  });
});

describe('Job.waitingSteps', () => {
  it('lists a step once its predecessors are done', async (t) => {
    // Fails if a change of one step leaves the list of the job as it was: the job would stop there.
    const steps = [{ taskCount: 1 }, { taskCount: 1, afterSteps: [0] }];
    const job = createJob(jobSpecSchema.parse({ spec: '', steps }));
    const waiting = (): number[] => job.waitingSteps.map(({ step }) => step.index);
    t.same(waiting(), [0]);
    const place = job.find(0, 0, 0)!;
    const { run } = place.task.addRun('t0', 0);
    t.same(waiting(), []);
    job.endRun(place, run, 'done', '');
    t.same(waiting(), [1]);
  });

  it('follows the occurrences of a schedule', async (t) => {
    const schedule = { firstDueUnixMs: 1_000, periodMs: 500, repeatCount: 2 };
    const job = createJob(jobSpecSchema.parse({ spec: '', steps: [{ taskCount: 1 }], schedule }));
    const waiting = (): number[] => job.waitingSteps.map(({ occurrence }) => occurrence.index);
    t.same(waiting(), []);
    job.openDue(1_000);
    t.same(waiting(), [0]);
    const place = job.find(0, 0, 0)!;
    const { run } = place.task.addRun('t0', 0);
    job.endRun(place, run, 'done', '');
    t.same(waiting(), []);
    job.openDue(1_500);
    t.same(waiting(), [1]);
  });
});
