/** Tests the sizes of pools whose demand rises and falls in turns. */
import { describe, it } from '@acaciadock/core/testing';
import { type PoolDemand, PoolSizer } from './PoolSizer.js';

const INSTANCE_MILLI = 16_000;

function demand(change: Partial<PoolDemand> = {}): PoolDemand {
  return {
    poolId: 'p',
    demandCpuMilli: 0,
    arrivingCpuMilli: 0,
    instanceCount: 8,
    openCount: 8,
    cpuMilliPerInstance: INSTANCE_MILLI,
    hasHadTurn: true,
    hasLongRunningWaiting: false,
    ...change,
  };
}

function sizeAfter(
  sizer: PoolSizer,
  pool: PoolDemand,
  nowMs: number,
): { needed: number; kept: number } {
  const [size] = sizer.size([pool], undefined, nowMs);
  return { needed: size?.needed ?? 0, kept: size?.kept ?? 0 };
}

describe('PoolSizer', () => {
  it('grows as soon as the waiting work needs more instances', (t) => {
    const sizer = new PoolSizer();
    const size = sizeAfter(sizer, demand({ demandCpuMilli: 10 * INSTANCE_MILLI }), 0);
    t.ok(size.needed > 10, 'an instance is never filled to the last core');
  });

  it('grows with the arrival rate before any work waits', (t) => {
    const size = sizeAfter(new PoolSizer(), demand({ arrivingCpuMilli: 5 * INSTANCE_MILLI }), 0);
    t.ok(size.needed >= 5);
  });

  it('needs another instance while a long-running task finds no room', (t) => {
    const pool = demand({
      instanceCount: 1,
      openCount: 1,
      demandCpuMilli: 6_000,
      hasLongRunningWaiting: true,
    });
    t.equal(sizeAfter(new PoolSizer(), pool, 0).needed, 2);
    const withMovingInstance = { ...pool, instanceCount: 2 };
    t.equal(
      sizeAfter(new PoolSizer(), withMovingInstance, 0).needed,
      2,
      'an instance that is on its way counts',
    );
    const empty = demand({ instanceCount: 0, demandCpuMilli: 6_000 });
    t.equal(sizeAfter(new PoolSizer(), empty, 0).needed, 1, 'its only instance is being drained');
  });

  it('keeps instances that it needed recently and releases them later', (t) => {
    const sizer = new PoolSizer();
    sizeAfter(sizer, demand({ demandCpuMilli: 8 * INSTANCE_MILLI }), 0);
    t.ok(sizeAfter(sizer, demand(), 500).kept >= 8, 'does not shrink within a second');
    t.equal(sizeAfter(sizer, demand(), 3_000).kept, 1, 'released after the turn');
  });

  it('keeps a part of the initial instances of a pool that has not had a turn', (t) => {
    const sizer = new PoolSizer();
    sizeAfter(sizer, demand({ hasHadTurn: false }), 0);
    t.equal(sizeAfter(sizer, demand({ hasHadTurn: false }), 10_000).kept, 4);
  });

  it('prepares for a forecast turn with the largest need so far', (t) => {
    const sizer = new PoolSizer();
    sizer.size([demand({ demandCpuMilli: 9 * INSTANCE_MILLI })], undefined, 0);
    sizer.size([demand()], undefined, 5_000);
    const [size] = sizer.size([demand()], { poolId: 'p', inMs: 1_500 }, 10_000);
    t.ok((size?.needed ?? 0) >= 9);
    const [early] = sizer.size([demand()], { poolId: 'p', inMs: 4_000 }, 10_100);
    t.equal(early?.needed, 1, 'not earlier than the preparation time');
  });
});
