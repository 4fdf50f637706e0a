/** Tests what the admission of jobs counts as the room of a pool. */
import { ManualClock, SilentLogger } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type JobDefinition, JobsConfigView, jobSpecSchema } from '@acaciadock/jobs';
import { RejectedSizes, RuntimeEstimates } from '@acaciadock/placement';
import { AdmissionController, type AdmissionControllerDeps } from './AdmissionController.js';
import { type QueuedStep } from './QueuedStep.js';

const POOL_ID = 'p';
const RUNTIME_MS = 500;
const CAPACITY = { cpuMilli: 4_000, memoryMb: 0, gpuCount: 0 };
const LONG_RUNNING = { ...CAPACITY, cpuMilli: 3_000, longRunning: true, filler: false };

const SPEC = jobSpecSchema.parse({ spec: '', steps: [{ taskCount: 1, cpuMilli: 1_000 }] });
const DEFINITION = {
  jobId: 'j',
  queueId: 'q',
  poolId: POOL_ID,
  teamId: 't',
  priority: 0,
  stretch: 2,
  targetLatencyMs: 500,
  acceptedUnixMs: 0,
  isBeyondShare: false,
  spec: SPEC,
} as unknown as JobDefinition;

interface LoggedRoom {
  readonly roomCpuMilli?: number;
}

/** Room that the controller logs for a job, with a target that runs nothing and another one. */
function roomBeside(other: { readonly isEvacuated: boolean }): number | undefined {
  const logged: LoggedRoom[] = [];
  const logger = Object.assign(new SilentLogger(), {
    debug: (_event: string, fields: LoggedRoom) => logged.push(fields),
  });
  const estimates = new RuntimeEstimates();
  Object.assign(estimates, { isTrusted: () => true, meanMs: () => RUNTIME_MS });
  const lasting = new Map([['s.0.0.0', { place: { step: { spec: LONG_RUNNING } } }]]);
  const controller = new AdmissionController({ moveMs: 1_500, refusesOverload: true }, {
    estimates,
    targets: {
      isListed: true,
      ofPool: () => [
        { capacity: CAPACITY, runs: new Map(), isEvacuated: false },
        { capacity: CAPACITY, runs: lasting, ...other },
      ],
    },
    clock: new ManualClock(),
    logger,
    config: () => new JobsConfigView({ version: 1, queues: [], pools: [], teams: [] }),
    roomOf: undefined,
  } as unknown as AdmissionControllerDeps);
  const waiting = {
    entry: { job: { definition: DEFINITION }, hasReturned: false },
    step: { spec: SPEC.steps[0], waitingTasks: [{}] },
    priority: 0,
    isLongRunning: false,
    objectiveMs: 1_500,
    objectiveUnixMs: 1_500,
    remainingMs: RUNTIME_MS,
    isBeyondShare: false,
  } as unknown as QueuedStep;
  const rejectedSizes = new RejectedSizes();
  controller.refresh(POOL_ID, { blocked: [waiting], rejectedSizes, suspectWaitMs: 0 });
  controller.refusalFor(DEFINITION, false);
  return logged[0]?.roomCpuMilli;
}

describe('AdmissionController', () => {
  it('takes what long-running tasks hold from the room', (t) => {
    t.equal(roomBeside({ isEvacuated: false }), 5_000);
  });

  it('counts neither targets under evacuation nor what their long-running tasks hold', (t) => {
    // Fails if tasks that leave a zone make the other targets look full, so that jobs are refused.
    t.equal(roomBeside({ isEvacuated: true }), 4_000);
  });
});
