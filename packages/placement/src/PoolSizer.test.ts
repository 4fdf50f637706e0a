/** Sizes of pools under demand that rises and falls by turns. */
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
    hasServingWaiting: false,
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
  it('asks for more as soon as the waiting work needs it', (t) => {
    const sizer = new PoolSizer();
    const size = sizeAfter(sizer, demand({ demandCpuMilli: 10 * INSTANCE_MILLI }), 0);
    t.ok(size.needed > 10, 'room is never filled to the last core');
  });

  it('asks for what arrives before it waits', (t) => {
    const size = sizeAfter(new PoolSizer(), demand({ arrivingCpuMilli: 5 * INSTANCE_MILLI }), 0);
    t.ok(size.needed >= 5);
  });

  it('asks for another instance while a task that lasts finds no room', (t) => {
    const pool = demand({
      instanceCount: 1,
      openCount: 1,
      demandCpuMilli: 6_000,
      hasServingWaiting: true,
    });
    t.equal(sizeAfter(new PoolSizer(), pool, 0).needed, 2);
    const expecting = { ...pool, instanceCount: 2 };
    t.equal(sizeAfter(new PoolSizer(), expecting, 0).needed, 2, 'one on its way is enough');
    const empty = demand({ instanceCount: 0, demandCpuMilli: 6_000 });
    t.equal(sizeAfter(new PoolSizer(), empty, 0).needed, 1, 'its only one is being emptied');
  });

  it('keeps what it needed a moment ago and gives it back later', (t) => {
    const sizer = new PoolSizer();
    sizeAfter(sizer, demand({ demandCpuMilli: 8 * INSTANCE_MILLI }), 0);
    t.ok(sizeAfter(sizer, demand(), 500).kept >= 8, 'no swing within a second');
    t.equal(sizeAfter(sizer, demand(), 3_000).kept, 1, 'given back after the turn');
  });

  it('keeps part of a pool that has not had its turn', (t) => {
    const sizer = new PoolSizer();
    sizeAfter(sizer, demand({ hasHadTurn: false }), 0);
    t.equal(sizeAfter(sizer, demand({ hasHadTurn: false }), 10_000).kept, 4);
  });

  it('prepares a turn that is foreseen with what the last one needed', (t) => {
    const sizer = new PoolSizer();
    sizer.size([demand({ demandCpuMilli: 9 * INSTANCE_MILLI })], undefined, 0);
    sizer.size([demand()], undefined, 5_000);
    const [size] = sizer.size([demand()], { poolId: 'p', inMs: 1_500 }, 10_000);
    t.ok((size?.needed ?? 0) >= 9);
    const [early] = sizer.size([demand()], { poolId: 'p', inMs: 4_000 }, 10_100);
    t.equal(early?.needed, 1, 'not too early');
  });
});
