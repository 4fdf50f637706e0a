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
    jobs: { get: () => (owner.knows ? known : undefined), accept: createEntry },
    ownership: { mayAcceptWork: true, isProven: owner.isProven },
    admission: { refusalFor: () => 2_000, hasReturned: () => false },
    scheduler: { openDue: () => {}, poolOf: () => 'p', requestPassFor: () => {} },
    demand: { recordArrival: () => {} },
    clock: new ManualClock(),
    logger: new SilentLogger(),
    config: () => new JobsConfigView({ version: 1, queues: [], pools: [], teams: [] }),
  } as unknown as JobCallHandlerDeps);
  const reply = await handler.call({ kind: 'submit', context: CONTEXT, jobId: 'j', spec });
  return { reply, stored };
}

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
