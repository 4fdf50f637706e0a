/** Tests which instances of an upkeep wave are drained and which are taken down. */
import { describe, it } from '@acaciadock/core/testing';
import { type UpkeepCandidate, UpkeepPlanner, type WaveSituation } from './UpkeepPlanner.js';

function candidate(instanceId: string, change: Partial<UpkeepCandidate> = {}): UpkeepCandidate {
  return {
    instanceId,
    poolId: 'p',
    isEmpty: false,
    isReserved: false,
    isUnavailable: false,
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
    perInstanceMs: 6_000,
    ...change,
  };
}

describe('UpkeepPlanner', () => {
  it('never takes down more instances than the wave allows', (t) => {
    const candidates = ['a', 'b', 'c', 'd'].map((id) => candidate(id, { isEmpty: true }));
    const plan = UpkeepPlanner.plan(situation({ candidates, downCount: 2 }));
    t.same(plan.begin, ['a']);
  });

  it('takes no instance down that has work or is unavailable', (t) => {
    const candidates = [candidate('a'), candidate('b', { isEmpty: true, isUnavailable: true })];
    t.same(UpkeepPlanner.plan(situation({ candidates })).begin, []);
  });

  it('drains the instances with the fewest runs first', (t) => {
    const candidates = [candidate('a', { runCount: 5 }), candidate('b', { runCount: 0 })];
    t.same(UpkeepPlanner.plan(situation({ candidates, mostAtOnce: 1 })).reserve, ['b']);
  });

  it('does not drain a pool with waiting work unless the wave is late', (t) => {
    const pools = new Map([['p', { openCount: 9, hasWaitingWork: true }]]);
    const candidates = [candidate('a')];
    t.same(UpkeepPlanner.plan(situation({ candidates, pools })).reserve, []);
    const late = situation({ candidates, pools, timeLeftMs: 5_000 });
    t.same(UpkeepPlanner.plan(late).reserve, ['a']);
  });

  it('drains at most a third of a pool at once', (t) => {
    const candidates = ['a', 'b', 'c', 'd', 'e'].map((id) => candidate(id));
    const plan = UpkeepPlanner.plan(situation({ candidates, mostAtOnce: 5 }));
    t.equal(plan.reserve.length, 3);
  });
});
