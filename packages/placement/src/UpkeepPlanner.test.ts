/** Which instances of a wave are emptied and sent down. */
import { describe, it } from '@acaciadock/core/testing';
import { type UpkeepCandidate, UpkeepPlanner, type WaveSituation } from './UpkeepPlanner.js';

function candidate(instanceId: string, change: Partial<UpkeepCandidate> = {}): UpkeepCandidate {
  return {
    instanceId,
    poolId: 'p',
    isEmpty: false,
    isReserved: false,
    isBusy: false,
    runCount: 1,
    isSpare: false,
    ...change,
  };
}

function situation(change: Partial<WaveSituation> = {}): WaveSituation {
  return {
    candidates: [],
    pools: new Map([['p', { openCount: 9, hasWaitingWork: false }]]),
    downCount: 0,
    mostAtOnce: 3,
    timeLeftMs: 60_000,
    stepMs: 6_000,
    ...change,
  };
}

describe('UpkeepPlanner', () => {
  it('never sends more down than the wave allows', (t) => {
    const candidates = ['a', 'b', 'c', 'd'].map((id) => candidate(id, { isEmpty: true }));
    const plan = UpkeepPlanner.plan(situation({ candidates, downCount: 2 }));
    t.same(plan.begin, ['a']);
  });

  it('sends no instance down that carries work or is under way', (t) => {
    const candidates = [candidate('a'), candidate('b', { isEmpty: true, isBusy: true })];
    t.same(UpkeepPlanner.plan(situation({ candidates })).begin, []);
  });

  it('empties those with the least work first', (t) => {
    const candidates = [candidate('a', { runCount: 5 }), candidate('b', { runCount: 0 })];
    t.same(UpkeepPlanner.plan(situation({ candidates, mostAtOnce: 1 })).reserve, ['b']);
  });

  it('leaves a pool with waiting work alone while there is time', (t) => {
    const pools = new Map([['p', { openCount: 9, hasWaitingWork: true }]]);
    const candidates = [candidate('a')];
    t.same(UpkeepPlanner.plan(situation({ candidates, pools })).reserve, []);
    const late = situation({ candidates, pools, timeLeftMs: 5_000 });
    t.same(UpkeepPlanner.plan(late).reserve, ['a']);
  });

  it('empties at most a third of a pool at once', (t) => {
    const candidates = ['a', 'b', 'c', 'd', 'e'].map((id) => candidate(id));
    const plan = UpkeepPlanner.plan(situation({ candidates, mostAtOnce: 5 }));
    t.equal(plan.reserve.length, 3);
  });
});
