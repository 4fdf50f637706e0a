import { Random } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { admit, upperBoundWaitMs, predictedWaitMs } from './Admission.js';
import { RetryBudget } from './RetryBudget.js';
import { RunTimeEstimator } from './RunTimeEstimator.js';

const KIND = { serviceId: 's', teamId: 'a', urgency: 'urgent' } as const;
const SEED = 11;

describe('RunTimeEstimator', () => {
  it(`corrects a declaration that is off by a factor of ten to within 20 % (seed ${SEED})`, (t) => {
    [20, 2_000].forEach((declaredMs) => {
      const random = new Random(SEED);
      const estimator = new RunTimeEstimator();
      t.equal(estimator.estimateMs(KIND, declaredMs), declaredMs);
      Array.from({ length: 100 }, () => estimator.learn(KIND, 100 + 200 * random.next()));
      const estimateMs = estimator.estimateMs(KIND, declaredMs);
      t.ok(Math.abs(estimateMs - 200) < 40, `${estimateMs}`);
    });
  });

  it('changes little after one stalled run, and follows a lasting change', (t) => {
    const estimator = new RunTimeEstimator();
    Array.from({ length: 50 }, () => estimator.learn(KIND, 100));
    estimator.learn(KIND, 60_000);
    t.ok(estimator.estimateMs(KIND, 1) < 120);
    Array.from({ length: 100 }, () => estimator.learn(KIND, 400));
    t.ok(Math.abs(estimator.estimateMs(KIND, 1) - 400) < 40);
  });

  it('prefers runs of other teams to the declaration, and drops estimates not retained', (t) => {
    const estimator = new RunTimeEstimator();
    estimator.learn(KIND, 70);
    t.equal(estimator.estimateMs({ ...KIND, teamId: 'b' }, 500), 70);
    t.equal(estimator.estimateMs({ ...KIND, urgency: 'background' }, 500), 500);
    estimator.retain(() => false);
    t.equal(estimator.size, 0);
  });
});

describe('Admission', () => {
  const backlog = {
    tickets: 10,
    aheadMs: 10_000,
    portion: 0.25,
    leadMs: 5_000,
    debtMs: 0,
  };
  const capacity = { slots: 8, freeSlots: 0, teamLimit: 100, heldSlots: 0 };

  const waits = [
    {
      name: 'nothing ahead and a free slot',
      change: { tickets: 0 },
      slots: { freeSlots: 1 },
      ms: 0,
    },
    { name: 'work ahead, at the portion of the team', ms: 5_000 },
    { name: 'other teams go first', change: { debtMs: 2_000 }, ms: 6_000 },
    { name: 'a team at its limit', slots: { teamLimit: 1 }, ms: 10_000 },
    { name: 'all slots held by long runs', slots: { heldSlots: 8 }, ms: Infinity },
  ] as const;
  waits.forEach((wait) => {
    it(`computes the upper bound of the wait: ${wait.name}`, (t) => {
      const change = 'change' in wait ? wait.change : {};
      const slots = 'slots' in wait ? wait.slots : {};
      t.equal(upperBoundWaitMs({ ...backlog, ...change }, { ...capacity, ...slots }), wait.ms);
    });
  });

  it('predicts a shorter wait when other teams run out of work', (t) => {
    const competingMs = (leadMs: number, turnMs: number): number => leadMs + 1_000 + turnMs * 2;
    const waitMs = predictedWaitMs('urgent', backlog, capacity, competingMs);
    t.equal(waitMs, (5_000 + 1_000 + 10_000) / 8);
    const limited = { ...capacity, teamLimit: 4 };
    t.equal(predictedWaitMs('urgent', backlog, limited, competingMs), 2_500);
  });

  const arrival = {
    urgency: 'urgent',
    nowMs: 1_000,
    deadlineAtMs: 4_000,
    estimateMs: 500,
    startByMs: 3_000,
  } as const;
  // The latest start is 2 s away, so a predicted wait of up to 1.6 s is admitted.
  const decisions = [
    { waitMs: 1_600, kind: 'admitted' },
    { waitMs: 2_200, kind: 'late', retryAfterMs: 600 },
    { waitMs: 1_601, kind: 'late', retryAfterMs: 100 },
    { waitMs: Infinity, kind: 'late', retryAfterMs: 60_000 },
  ];
  decisions.forEach(({ waitMs, kind, retryAfterMs }) => {
    it(`decides on a wait of ${waitMs} ms: ${kind}`, (t) => {
      t.match(admit(arrival, waitMs), { kind, ...(retryAfterMs ? { retryAfterMs } : {}) });
    });
  });
});

describe('RetryBudget', () => {
  it('limits the load that retries add to the ratio, however many requests fail', (t) => {
    const budget = new RetryBudget(0.1);
    let retries = 0;
    Array.from({ length: 10_000 }, () => {
      budget.earn();
      if (budget.trySpend()) retries += 1;
      return retries;
    });
    t.ok(retries <= 10_000 * 0.1 + 10, `${retries}`);
    t.ok(retries >= 1_000, `${retries}`);
  });

  it('allows no retry at a ratio of zero', (t) => {
    t.notOk(new RetryBudget(0).trySpend());
  });
});
