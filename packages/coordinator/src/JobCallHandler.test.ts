/** Tests when a submission may be refused because of load. */
import { ManualClock, SilentLogger } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type JobDefinition, JobsConfigView, jobSpecSchema } from '@acaciadock/jobs';
import { Job } from '@acaciadock/jobs';
import { JobCallHandler, type JobCallHandlerDeps } from './JobCallHandler.js';
import { JobEntry } from './JobEntry.js';
import { type JobReply } from './JobService.js';

const CONTEXT = {
  access: { host: 'h', path: '/', key: 'key' },
  configVersion: 1,
  queueId: 'q',
  poolId: 'p',
  teamId: 't',
  priority: 0,
  maxAttempts: 1,
  stretch: 1,
  targetLatencyMs: 0,
};

/** Submits a job that the admission control would refuse; returns the reply and the stored jobs. */
async function submitTo(owner: {
  readonly isProven: boolean;
  readonly knows: boolean;
}): Promise<{ reply: JobReply; stored: number }> {
  let stored = 0;
  const createEntry = (definition: JobDefinition): JobEntry => {
    stored += 1;
    return new JobEntry(new Job(definition));
  };
  const spec = jobSpecSchema.parse({ spec: '', steps: [{ taskCount: 1 }] });
  const known = new JobEntry(
    new Job({ ...CONTEXT, jobId: 'j', acceptedUnixMs: 0, isBeyondShare: false, spec }),
  );
  const handler = new JobCallHandler({
    jobs: {
      get: () => (owner.knows ? known : undefined),
      accept: createEntry,
      hasRoomFor: () => true,
    },
    cancels: { has: () => false },
    ownership: {
      mayAcceptWork: true,
      isProven: owner.isProven,
      onEnd: () => ({ dispose: () => {} }),
      writer: { onSetAside: () => ({ dispose: () => {} }) },
    },
    admission: { refusalFor: () => 2_000, hasReturned: () => false },
    scheduler: {
      isSuspected: () => false,
      openDue: () => {},
      poolOf: () => 'p',
      requestPassFor: () => {},
    },
    demand: { recordArrival: () => {} },
    clock: new ManualClock(),
    logger: new SilentLogger(),
    config: () => new JobsConfigView({ version: 1, queues: [], pools: [], teams: [] }),
  } as unknown as JobCallHandlerDeps);
  const reply = await handler.call({ kind: 'submit', context: CONTEXT, jobId: 'j', spec });
  return { reply, stored };
}

/** The waiting count of a queue with one job, of which a run is planned. */
async function waitingCount(hasBegun: boolean): Promise<JobReply> {
  const spec = jobSpecSchema.parse({ spec: '', steps: [{ taskCount: 1 }] });
  const job = new Job({ ...CONTEXT, jobId: 'j', acceptedUnixMs: 0, isBeyondShare: false, spec });
  const { task } = job.find(0, 0, 0)!;
  task.addRun('target', 1);
  if (hasBegun) task.markBegun();
  const handler = new JobCallHandler({
    jobs: { activeJobs: [new JobEntry(job)].values() },
  } as unknown as JobCallHandlerDeps);
  return handler.call({ kind: 'waiting', context: CONTEXT });
}

describe('the waiting count of a queue', () => {
  it('has the jobs whose runs are planned and have not begun', async (t) => {
    // Fails if planned runs count as started: just after a change of owner hundreds are planned at once,
    // and those of an owner that can't append stay planned.
    t.same(await waitingCount(false), { kind: 'waiting', count: 1 });
    t.same(await waitingCount(true), { kind: 'waiting', count: 0 });
  });
});

describe('JobCallHandler under overload', () => {
  it('refuses a job before anything of it is stored', async (t) => {
    t.same(await submitTo({ isProven: true, knows: false }), {
      reply: { kind: 'refused', reason: 'overloaded', retryAfterMs: 2_000 },
      stored: 0,
    });
  });

  it('does not refuse a repeat of a job that it knows', async (t) => {
    const { reply } = await submitTo({ isProven: true, knows: true });
    t.same(reply, { kind: 'accepted' });
  });

  it('does not refuse while another owner may have accepted the job', async (t) => {
    // Fails if an owner that was paused tells a caller that the job, which its successor runs, never will.
    t.same(await submitTo({ isProven: false, knows: false }), {
      reply: { kind: 'accepted' },
      stored: 1,
    });
  });
});
