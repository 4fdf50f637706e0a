/** When a task that serves may be stopped on purpose. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { Job, jobSpecSchema, type StepState, type TaskState } from '@acaciadock/jobs';
import { LiveRun } from './LiveRun.js';
import { ServingGuard } from './ServingGuard.js';

interface Rig {
  readonly clock: ManualClock;
  readonly guard: ServingGuard;
  readonly step: StepState;
  readonly tasks: readonly TaskState[];
  readonly live: readonly LiveRun[];
}

/** Three tasks at work, each just reported. */
function newRig(mostUnavailable: number | undefined): Rig {
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
  const guard = new ServingGuard((taskId) => live.find((one) => one.taskId === taskId), clock);
  const state = live[0]!.place.step;
  return { clock, guard, step: state, tasks: state.tasks, live };
}

function mayStopFirst({ guard, step, tasks }: Rig): boolean {
  return guard.mayStop(step, tasks[0]!);
}

describe('ServingGuard', () => {
  it('allows a stop while all others are at work', (t) => {
    t.ok(mayStopFirst(newRig(1)));
  });

  it('never allows one without a promise of how many may be away', (t) => {
    t.notOk(mayStopFirst(newRig(undefined)));
    t.notOk(mayStopFirst(newRig(0)));
  });

  it('counts a task that has just been told to stop as away', (t) => {
    const rig = newRig(1);
    Object.assign(rig.live[1]!, { phase: 'stopping' });
    t.notOk(mayStopFirst(rig));
  });

  it('counts a task that is not yet at full work as away', (t) => {
    const rig = newRig(1);
    Object.assign(rig.live[1]!, { percent: 60 });
    t.notOk(mayStopFirst(rig));
  });

  it('counts a task as away whose target has not been heard of for a while', (t) => {
    const rig = newRig(1);
    rig.clock.advance(4_000);
    Object.assign(rig.live[2]!, { reportedMs: rig.clock.monotonicMs() });
    t.notOk(mayStopFirst(rig), 'the last report of the second is too old');
  });
});
