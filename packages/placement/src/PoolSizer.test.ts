/** Tests the sizes of pools whose demand rises and falls in turns. */
import { describe, it } from '@acaciadock/core/testing';
import { type StepSpec, stepSpecSchema } from '@acaciadock/jobs';
import { type PoolDemand, PoolSizer } from './PoolSizer.js';
import { ResourceVector } from './ResourceVector.js';
import { TaskFitBound } from './TaskFitBound.js';

const INSTANCE_MILLI = 16_000;

/** Usable fraction of an instance's CPU. */
const USABLE_SHARE = 0.85;

const CAPACITY = new ResourceVector(INSTANCE_MILLI, 64_000, 0);

function cpu(cpuMilli: number): ResourceVector {
  return new ResourceVector(cpuMilli, 0, 0);
}

function boundsOf(count: number, step: Partial<StepSpec>): TaskFitBound {
  const bounds = new TaskFitBound(CAPACITY);
  bounds.add('s', stepSpecSchema.parse({ taskCount: count, ...step }), count);
  return bounds;
}

function demand(change: Partial<PoolDemand> = {}): PoolDemand {
  return {
    poolId: 'p',
    demand: cpu(0),
    arriving: cpu(0),
    targetsForSuspects: 0,
    bounds: new TaskFitBound(CAPACITY),
    instanceCount: 8,
    openCount: 8,
    capacity: CAPACITY,
    hasHadTurn: true,
    isRising: false,
    lacksPlace: false,
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
    const size = sizeAfter(sizer, demand({ demand: cpu(10 * INSTANCE_MILLI) }), 0);
    t.ok(size.needed > 10, 'an instance is never filled to the last core');
  });

  it('grows with the arrival rate before any work waits', (t) => {
    const size = sizeAfter(new PoolSizer(), demand({ arriving: cpu(5 * INSTANCE_MILLI) }), 0);
    t.ok(size.needed >= 5);
  });

  it('adds instances for suspects, which it neither extrapolates nor remembers', (t) => {
    const sizer = new PoolSizer();
    const work = { demand: cpu(INSTANCE_MILLI) };
    t.equal(sizeAfter(sizer, demand(work), 0).needed, 2);
    t.equal(sizeAfter(sizer, demand({ ...work, targetsForSuspects: 5 }), 500).needed, 7);
    t.ok(sizeAfter(sizer, demand(work), 1_000).kept >= 7, 'they are kept for a while');
    t.same(
      sizer.memories.map(({ turnPeak }) => turnPeak),
      [2],
    );
  });

  it('does not remember the instances tried for a waiting long-running task as a turn', (t) => {
    // Fails if the need of one more than the open instances enters the peak: a task that no added
    // instance helps then makes every later turn ask for as many instances as were ever added.
    const sizer = new PoolSizer();
    const waiting = { demand: cpu(INSTANCE_MILLI), lacksPlace: true };
    [8, 9, 10, 11].forEach((openCount, round) => {
      const { needed } = sizeAfter(sizer, demand({ ...waiting, openCount }), round * 5_000);
      t.ok(needed > openCount, 'one more is still needed now');
    });
    t.same(
      sizer.memories.map(({ turnPeak }) => turnPeak),
      [3],
    );
  });

  it('needs another instance while a long-running task finds no room', (t) => {
    const pool = demand({
      instanceCount: 1,
      openCount: 1,
      demand: cpu(6_000),
      lacksPlace: true,
    });
    t.equal(sizeAfter(new PoolSizer(), pool, 0).needed, 2);
    const withMovingInstance = { ...pool, instanceCount: 2 };
    t.equal(
      sizeAfter(new PoolSizer(), withMovingInstance, 0).needed,
      2,
      'an instance that is on its way counts',
    );
    const empty = demand({ instanceCount: 0, demand: cpu(6_000) });
    t.equal(sizeAfter(new PoolSizer(), empty, 0).needed, 1, 'its only instance is being drained');
  });

  it('keeps instances that it needed recently and releases them later', (t) => {
    const sizer = new PoolSizer();
    sizeAfter(sizer, demand({ demand: cpu(8 * INSTANCE_MILLI) }), 0);
    t.ok(sizeAfter(sizer, demand(), 500).kept >= 8, 'does not shrink within a second');
    t.equal(sizeAfter(sizer, demand(), 3_000).kept, 1, 'released after the turn');
  });

  it('keeps a part of the initial instances of a pool that has not had a turn', (t) => {
    const sizer = new PoolSizer();
    sizeAfter(sizer, demand({ hasHadTurn: false }), 0);
    t.equal(sizeAfter(sizer, demand({ hasHadTurn: false }), 10_000).kept, 4);
  });

  it('releases what only an extrapolated need asked for before the rest', (t) => {
    // Fails if the extrapolated need is kept as long as a need that was there.
    const sizer = new PoolSizer();
    sizeAfter(sizer, demand({ instanceCount: 2 }), 0);
    const grown = demand({ demand: cpu(8 * INSTANCE_MILLI) });
    const { needed, kept } = sizeAfter(sizer, grown, 150);
    t.equal(needed, 18, 'eight more extrapolated');
    t.equal(kept, 18);
    sizeAfter(sizer, { ...grown, demand: cpu(0) }, 1_200);
    t.equal(sizeAfter(sizer, { ...grown, demand: cpu(0) }, 1_300).kept, 10);
  });

  describe('of a pool without a turn, after the turn of another', () => {
    /** Instances that a pool of the initial count keeps after another of 10 needed 3 at its start. */
    function keptAfterTurn(initialCount: number, spareCount: number, seenTurn = true): number {
      const sizer = new PoolSizer();
      const other = demand({ poolId: 'other', hasHadTurn: !seenTurn, instanceCount: 10 });
      const pool = demand({ hasHadTurn: false, instanceCount: initialCount });
      sizer.size([other, pool], undefined, 0);
      const busy = { ...other, hasHadTurn: true, demand: cpu(2 * INSTANCE_MILLI) };
      sizer.size([busy, pool], undefined, 3_000);
      sizer.size([busy, pool], undefined, 5_100);
      return sizer.size([busy, pool], undefined, 6_000, spareCount)[1]?.kept ?? 0;
    }

    it('keeps no more than the start of that turn needed', (t) => {
      // Fails if each pool keeps half of its initial instances until its own turn.
      t.equal(keptAfterTurn(10, 10), 3);
    });

    it('keeps more in proportion to its initial instances', (t) => {
      t.equal(keptAfterTurn(40, 100), 12);
    });

    it('keeps what the spare instances could not replace', (t) => {
      t.equal(keptAfterTurn(40, 2), 18);
    });

    it('keeps half if no start of a turn was observed', (t) => {
      // Fails if an owner that took over during a turn counts its end as its start.
      t.equal(keptAfterTurn(40, 100, false), 20);
    });
  });

  describe('of a pool whose first turn begins, after the turn of another', () => {
    const MS_PER_ROUND = 150;

    /** Plays a turn of pool `a` that needs three times its instances, with a peak of a moment. */
    function afterTurnOfOther(): PoolSizer {
      const sizer = new PoolSizer();
      const other = { poolId: 'a', instanceCount: 4, hasHadTurn: true };
      for (let round = 0; round < 20; round += 1) {
        const instances = round === 10 ? 30 : 12 * USABLE_SHARE;
        const busy = demand({ ...other, demand: cpu(instances * INSTANCE_MILLI) });
        const quiet = demand({ poolId: 'b', hasHadTurn: false });
        sizer.size([busy, quiet], undefined, round * MS_PER_ROUND);
      }
      return sizer;
    }

    function neededAt(sizer: PoolSizer, nowMs: number): number {
      const begun = demand({ poolId: 'b', demand: cpu(2 * INSTANCE_MILLI) });
      return sizer.size([begun], undefined, nowMs)[0]?.needed ?? 0;
    }

    it('needs the same multiple of its initial instances', (t) => {
      // Fails if the pool follows its demand, which rises faster than instances move there.
      t.equal(neededAt(afterTurnOfOther(), 3_000), 24);
    });

    it('needs it from the rise on', (t) => {
      const rising = demand({ poolId: 'b', hasHadTurn: false, isRising: true });
      const [size] = afterTurnOfOther().size([rising], undefined, 3_000);
      t.equal(size?.needed, 24);
    });

    it('follows its own demand once the start is over', (t) => {
      const sizer = afterTurnOfOther();
      neededAt(sizer, 3_000);
      t.ok(neededAt(sizer, 5_300) < 5);
    });

    it('expects the same after a change of owner', (t) => {
      const successor = new PoolSizer();
      successor.restore(afterTurnOfOther().memories);
      successor.size([demand({ poolId: 'b', hasHadTurn: false })], undefined, 0);
      t.equal(neededAt(successor, 100), 24);
    });

    it('follows its own demand if no other pool has had a turn', (t) => {
      const sizer = new PoolSizer();
      sizer.size([demand({ poolId: 'b', hasHadTurn: false })], undefined, 0);
      t.ok(neededAt(sizer, 100) < 8);
    });
  });

  it('prepares for a forecast turn with the largest need so far', (t) => {
    const sizer = new PoolSizer();
    sizer.size([demand({ demand: cpu(9 * INSTANCE_MILLI) })], undefined, 0);
    sizer.size([demand()], undefined, 5_000);
    const [size] = sizer.size([demand()], { poolId: 'p', inMs: 1_500 }, 10_000);
    t.ok((size?.needed ?? 0) >= 9);
    const [early] = sizer.size([demand()], { poolId: 'p', inMs: 4_000 }, 10_100);
    t.equal(early?.needed, 1, 'not earlier than the preparation time');
  });

  describe('limited by a resource', () => {
    it('needs as many instances as before where CPU is the limit', (t) => {
      // Fails if memory that is not scarce changes a size.
      for (let cores = 1; cores <= 200; cores += 1) {
        const need = new ResourceVector(cores * 1_000, cores * 4_000, 0);
        const pool = demand({ demand: need, arriving: need.times(0.5) });
        const [size] = new PoolSizer().size([pool], undefined, 0);
        t.equal(size?.needed, Math.max(1, Math.ceil((cores * 1_000) / (INSTANCE_MILLI * 0.85))));
        t.equal(size?.limitedBy, 'cpu');
      }
    });

    it('has room for memory-bound work after one round', (t) => {
      // Fails if only CPU, or only the sum of memory, is counted: a third task of 25 GB does not fit
      // on an instance of 64 GB although half the CPU is free.
      const step = { cpuMilli: 2_000, memoryMb: 25_000 };
      const pool = demand({
        demand: new ResourceVector(30 * 2_000, 30 * 25_000, 0),
        bounds: boundsOf(30, step),
      });
      const [size] = new PoolSizer().size([pool], undefined, 0);
      t.equal(size?.needed, 15);
      t.equal(size?.limitedBy, 'memory');
    });

    it('counts small tasks by their sum and no resource that instances lack', (t) => {
      const small = { memoryMb: 1_000, gpuCount: 1 };
      const pool = demand({
        demand: new ResourceVector(0, 600_000, 600),
        bounds: boundsOf(600, small),
      });
      t.equal(sizeAfter(new PoolSizer(), pool, 0).needed, 10);
    });

    it('needs what the maximum of long-running tasks per target requires', (t) => {
      // Fails if long-running tasks beyond the maximum get one more instance at a time.
      const step = { cpuMilli: 1_000, memoryMb: 4_000, longRunning: true, mostPerTarget: 2 };
      const pool = demand({
        demand: new ResourceVector(24_000, 96_000, 0),
        bounds: boundsOf(24, step),
      });
      const [size] = new PoolSizer().size([pool], undefined, 0);
      t.equal(size?.needed, 12);
      t.equal(size?.limitedBy, 'tasks-per-target');
    });

    it('needs the larger of both where long-running and quick work are mixed', (t) => {
      // Fails if the instances of long-running work are added to those of quick work, which uses
      // the CPU that long-running work leaves free.
      const limited = { cpuMilli: 1_000, memoryMb: 14_000, longRunning: true, mostPerTarget: 2 };
      const longRunning = new ResourceVector(24_000, 24 * 14_000, 0);
      const quick = new ResourceVector(300 * 1_000, 300 * 1_000, 0);
      const pool = demand({
        demand: longRunning.plus(quick),
        bounds: boundsOf(24, limited),
      });
      t.equal(sizeAfter(new PoolSizer(), pool, 0).needed, Math.ceil(324 / (16 * 0.85)));
    });
  });
});
