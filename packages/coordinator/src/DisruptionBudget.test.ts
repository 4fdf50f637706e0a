/** Disruption budget: when a long-running task may be stopped on purpose. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { Job, jobSpecSchema, type StepState, type TaskState } from '@acaciadock/jobs';
import { LiveRun } from './LiveRun.js';
import { DisruptionBudget } from './DisruptionBudget.js';

interface Fixture {
  readonly clock: ManualClock;
  readonly budget: DisruptionBudget;
  readonly step: StepState;
  readonly tasks: readonly TaskState[];
  readonly live: readonly LiveRun[];
}

/** Three available tasks, each just reported at its full work rate. */
function createFixture(mostUnavailable: number | undefined): Fixture {
  const step = { taskCount: 3, longRunning: true, mostUnavailable };
  const job = new Job({
    jobId: 'j',
    queueId: 'q',
    poolId: 'p',
    teamId: '',
    priority: 0,
    maxAttempts: 1,
    stretch: 1,
    targetLatencyMs: 0,
    acceptedUnixMs: 0,
    isBeyondShare: false,
    spec: jobSpecSchema.parse({ spec: '', steps: [step] }),
  });
  const clock = new ManualClock();
  const live = [0, 1, 2].map((index) => {
    const place = job.find(0, 0, index)!;
    const { run } = place.task.addRun(`t${index}`, 1);
    const one = new LiveRun(place, run, `t${index}`, 1);
    return Object.assign(one, { phase: 'running' as const, percent: 100, reportedMs: 0 });
  });
  const budget = new DisruptionBudget((taskId) => live.find((one) => one.taskId === taskId), clock);
  const state = live[0]!.place.step;
  return { clock, budget, step: state, tasks: state.tasks, live };
}

function mayStopFirst({ budget, step, tasks }: Fixture): boolean {
  return budget.mayStop(step, tasks[0]!);
}

describe('DisruptionBudget', () => {
  it('allows a stop while all other tasks are available', (t) => {
    t.ok(mayStopFirst(createFixture(1)));
  });

  it('never allows a stop without a budget or with a budget of 0', (t) => {
    t.notOk(mayStopFirst(createFixture(undefined)));
    t.notOk(mayStopFirst(createFixture(0)));
  });

  it('counts a stopping task as unavailable', (t) => {
    const fixture = createFixture(1);
    Object.assign(fixture.live[1]!, { phase: 'stopping' });
    t.notOk(mayStopFirst(fixture));
  });

  it('counts a task below its full work rate as unavailable', (t) => {
    const fixture = createFixture(1);
    Object.assign(fixture.live[1]!, { percent: 60 });
    t.notOk(mayStopFirst(fixture));
  });

  it('counts a task as unavailable if its last report is too old', (t) => {
    const fixture = createFixture(1);
    fixture.clock.advance(4_000);
    Object.assign(fixture.live[2]!, { reportedMs: fixture.clock.monotonicMs() });
    t.notOk(mayStopFirst(fixture), 'the last report of the second task is too old');
  });
});
