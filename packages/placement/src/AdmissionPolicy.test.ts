/** Tests which jobs are refused because of load, at a pool of 10 cores with work that waits. */
import { type StepSpec } from '@acaciadock/jobs';
import { describe, it } from '@acaciadock/core/testing';
import {
  AdmissionPolicy,
  type JobAdmission,
  type JobCandidate,
  type PoolRoom,
} from './AdmissionPolicy.js';
import { PoolBacklog, type WorkClass } from './PoolBacklog.js';
import { RejectedSizes } from './RejectedSizes.js';
import { type Resources } from './ResourceVector.js';

const NOW_MS = 5_000;
const NOW_UNIX_MS = 1_000_000;
const MOVE_MS = 1_500;

function cores(cpuMilli: number): Resources {
  return { cpuMilli, memoryMb: 0, gpuCount: 0 };
}

const STEP = { ...cores(1_000), gang: false, filler: false, requiredLabel: '', mostPerTarget: 0 };

/** A job of 1 s with an objective of 2 s: it may wait 5 s, and 0.75 s if it is to be in time. */
const JOB: JobCandidate = {
  priority: 1,
  isLongRunning: false,
  objectiveMs: 2_000,
  objectiveUnixMs: NOW_UNIX_MS + 2_000,
  remainingMs: 1_000,
  isBeyondShare: false,
  hasReturned: false,
  startsAsSuspect: false,
  teamId: 'own',
  firstSteps: [STEP as StepSpec],
  weightOf: () => 1,
};

const OWN_IN_TIME: WorkClass = {
  priority: 1,
  urgency: 'in-time',
  hasReturned: false,
  teamId: 'own',
  latestStartUnixMs: NOW_UNIX_MS,
};

interface Case {
  /** Seconds for which the waiting work fills the 10 cores, with its class. */
  readonly waiting: readonly (readonly [number, Partial<WorkClass>])[];
  readonly job?: Partial<JobCandidate>;
  readonly room?: Partial<PoolRoom> | 'unknown';
  readonly ageMs?: number;
  readonly suspectWaitMs?: number;
}

function decide({
  waiting,
  job = {},
  room = {},
  ageMs = 0,
  suspectWaitMs = 0,
}: Case): JobAdmission {
  const backlog = new PoolBacklog();
  waiting.forEach(([seconds, change]) =>
    backlog.add({ ...OWN_IN_TIME, ...change }, cores(10_000), seconds * 1_000),
  );
  const rejectedSizes = new RejectedSizes();
  rejectedSizes.note(STEP as StepSpec);
  const known = { present: cores(10_000), movable: cores(0), spareCount: 0 };
  const load = {
    atMs: NOW_MS - ageMs,
    room: room === 'unknown' ? undefined : { ...known, ...room },
    backlog,
    rejectedSizes,
    suspectWaitMs,
  };
  return new AdmissionPolicy(MOVE_MS).decide({ ...JOB, ...job }, load, NOW_MS, NOW_UNIX_MS);
}

describe('AdmissionPolicy', () => {
  const late: Partial<WorkClass> = { urgency: 'late' };
  const beyond: Partial<WorkClass> = { urgency: 'beyond-share' };
  const other: Partial<WorkClass> = { teamId: 'other' };
  const first: Partial<WorkClass> = { priority: 0 };
  const admitted: Record<string, Case> = {
    'with a wait within its value': { waiting: [[4.9, {}]] },
    'that starts in time, before all late work': {
      waiting: [
        [0.7, {}],
        [90, late],
      ],
    },
    'before work with more slack': {
      waiting: [[90, { latestStartUnixMs: NOW_UNIX_MS + 9_000 }]],
    },
    'of a team below its portion': { waiting: [[90, other]] },
    'of a team within its share, whatever others send beyond theirs': {
      waiting: [
        [4, {}],
        [90, beyond],
        [90, { ...beyond, ...first }],
      ],
    },
    'that has returned, before new jobs': { waiting: [[90, {}]], job: { hasReturned: true } },
    'before work of lower priority': { waiting: [[90, { priority: 2 }]] },
    'while a spare instance could be moved': { waiting: [[90, {}]], room: { spareCount: 1 } },
    'that starts as a suspect within its value': {
      waiting: [],
      job: { startsAsSuspect: true },
      suspectWaitMs: 4_900,
    },
    'that starts as a suspect, while a spare instance could be moved': {
      waiting: [],
      job: { startsAsSuspect: true },
      suspectWaitMs: 5_100,
      room: { spareCount: 1 },
    },
    'that starts as a suspect, while as many instances move to the pool': {
      waiting: [],
      job: { startsAsSuspect: true },
      suspectWaitMs: 5_100,
      room: { movable: cores(10_000) },
    },
    'that starts as no suspect, however many suspects wait': {
      waiting: [],
      suspectWaitMs: 90_000,
    },
    'while the instances are unknown': { waiting: [[90, {}]], room: 'unknown' },
    'when the last pass is too long ago': { waiting: [[90, {}]], ageMs: 301 },
    'smaller than what found no room': {
      waiting: [[90, {}]],
      job: { firstSteps: [{ ...STEP, cpuMilli: 900 } as StepSpec] },
    },
    'that will have room on instances that move': {
      waiting: [[20, {}]],
      room: { movable: cores(60_000) },
    },
    'whose objective is shorter than its work': {
      waiting: [[90, {}]],
      job: { objectiveMs: 0, objectiveUnixMs: NOW_UNIX_MS },
    },
  };
  Object.entries(admitted).forEach(([name, one]) => {
    it(`admits a job ${name}`, (t) => {
      t.equal(decide(one).decision.kind, 'admitted');
      t.end();
    });
  });

  const refused: Record<string, Case> = {
    'behind too much work of its own urgency': { waiting: [[5.1, {}]] },
    'that becomes late behind late work': {
      waiting: [
        [1, {}],
        [4.1, late],
      ],
    },
    'behind work of a higher priority': { waiting: [[5.1, { ...first, ...other }]] },
    'beyond its share behind entitled work': {
      waiting: [[5.1, { ...late, ...other }]],
      job: { isBeyondShare: true },
    },
    'of a team that uses up its portion while others wait': {
      waiting: [
        [2.6, {}],
        [9, other],
      ],
    },
    'that starts as a suspect behind too many others': {
      waiting: [],
      job: { startsAsSuspect: true },
      suspectWaitMs: 5_100,
    },
    'if even the instances that move are too few': {
      waiting: [[30, {}]],
      room: { movable: cores(60_000) },
    },
  };
  Object.entries(refused).forEach(([name, one]) => {
    it(`refuses a job ${name}`, (t) => {
      t.equal(decide(one).decision.kind, 'late');
      t.end();
    });
  });

  it('lets refused callers return in 1 to 3 whole seconds, at different times', (t) => {
    const policy = new AdmissionPolicy(MOVE_MS);
    const backlog = new PoolBacklog();
    backlog.add(OWN_IN_TIME, cores(10_000), 7_500);
    const rejectedSizes = new RejectedSizes();
    rejectedSizes.note(STEP as StepSpec);
    const room = { present: cores(10_000), movable: cores(0), spareCount: 0 };
    const load = { atMs: NOW_MS, room, backlog, rejectedSizes, suspectWaitMs: 0 };
    const delays = [1, 2].map(() => policy.decide(JOB, load, NOW_MS, NOW_UNIX_MS).decision);
    t.same(delays, [
      { kind: 'late', retryAfterMs: 2_000 },
      { kind: 'late', retryAfterMs: 3_000 },
    ]);
    t.end();
  });

  it('remembers refused jobs for some seconds and in a bounded number', (t) => {
    const policy = new AdmissionPolicy(MOVE_MS);
    policy.recordRefused('a', 0);
    t.ok(policy.hasReturned('a', 3_000));
    t.notOk(policy.hasReturned('a', 6_000));
    for (let job = 0; job < 10_000; job += 1) policy.recordRefused(`b${job}`, 1);
    t.notOk(policy.hasReturned('a', 2));
    t.ok(policy.hasReturned('b9999', 2));
    t.end();
  });
});
