/** Plays turns at one owner and checks what the next owner forecasts and keeps. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import {
  type PoolDemand,
  PoolSizer,
  ResourceVector,
  TaskFitBound,
  TurnForecast,
} from '@acaciadock/placement';
import { TurnRecord } from './TurnRecord.js';

const POOLS = ['a', 'b', 'c'];
const TURN_MS = 5_000;
const STEP_MS = 150;
const BUSY_CPU_MILLI = 100_000;
const CAPACITY = new ResourceVector(16_000, 64_000, 0);

/** Instances at the start of the deployment, and those that a turn needs at least. */
const INITIAL_COUNT = 20;
const TURN_COUNT = 6;

function demandOf(poolId: string, cpuMilli: number, hasHadTurn: boolean): PoolDemand {
  return {
    poolId,
    demand: new ResourceVector(cpuMilli, 0, 0),
    arriving: new ResourceVector(cpuMilli, 0, 0),
    targetsForSuspects: 0,
    bounds: new TaskFitBound(CAPACITY),
    instanceCount: INITIAL_COUNT,
    openCount: INITIAL_COUNT,
    capacity: CAPACITY,
    hasHadTurn,
    isRising: false,
    lacksPlace: false,
  };
}

class Owner {
  readonly forecast = new TurnForecast();

  readonly sizer = new PoolSizer();

  constructor(readonly clock: ManualClock) {}

  /** Observes one turn of each pool. */
  observeRound(): void {
    POOLS.forEach((busy) => {
      for (let elapsedMs = 0; elapsedMs < TURN_MS; elapsedMs += STEP_MS) {
        this.observe(busy);
        this.clock.advance(STEP_MS);
      }
    });
  }

  private observe(busy: string): void {
    const nowMs = this.clock.monotonicMs();
    const demands = POOLS.map((poolId) =>
      demandOf(poolId, poolId === busy ? BUSY_CPU_MILLI : 0, this.forecast.hasHadTurn(poolId)),
    );
    this.forecast.observe(
      demands.map(({ poolId, arriving }) => ({ poolId, cpuMilli: arriving.cpuMilli })),
      nowMs,
    );
    this.sizer.size(demands, this.forecast.next(nowMs), nowMs);
  }
}

function createSuccessor(previous: Owner): Owner {
  const record = TurnRecord.encode(previous.forecast, previous.sizer, previous.clock);
  const owner = new Owner(new ManualClock());
  // Another process: its monotonic clock starts anew, its wall clock agrees.
  owner.clock.advance(previous.clock.unixMs() - owner.clock.unixMs());
  TurnRecord.restore(record, owner.forecast, owner.sizer, owner.clock)._unsafeUnwrap();
  return owner;
}

describe('TurnRecord', () => {
  it('lets a new owner forecast the next turn like the previous one', (t) => {
    const previous = new Owner(new ManualClock());
    previous.observeRound();
    previous.observeRound();
    const expected = previous.forecast.next(previous.clock.monotonicMs());
    const owner = createSuccessor(previous);
    const next = owner.forecast.next(owner.clock.monotonicMs());
    t.equal(next?.poolId, expected?.poolId);
    t.ok(Math.abs((next?.inMs ?? 0) - (expected?.inMs ?? 0)) < 2);
    t.end();
  });

  it('lets a new owner prepare the pool whose turn is next', (t) => {
    // Fails if a new owner knows no peaks: it then prepares nothing.
    const previous = new Owner(new ManualClock());
    previous.observeRound();
    previous.observeRound();
    const owner = createSuccessor(previous);
    const nowMs = owner.clock.monotonicMs();
    const next = owner.forecast.next(nowMs);
    const [size] = owner.sizer.size([demandOf(next?.poolId ?? '', 0, true)], next, nowMs);
    t.ok((size?.needed ?? 0) >= TURN_COUNT, `${size?.needed} needed`);
    t.end();
  });

  it('keeps of a pool without a turn what the first owner would have kept', (t) => {
    const previous = new Owner(new ManualClock());
    previous.observeRound();
    const owner = createSuccessor(previous);
    t.same(owner.sizer.memories, []);
    const nowMs = owner.clock.monotonicMs();
    owner.sizer.size([{ ...demandOf('a', 0, false), instanceCount: 1 }], undefined, nowMs);
    t.equal(owner.sizer.memories[0]?.initialCount, INITIAL_COUNT);
    t.equal(owner.sizer.memories[0]?.startNeed, previous.sizer.memories[0]?.startNeed);
    t.ok(owner.sizer.memories[0]?.startNeed, 'what the start of its turn needed');
    t.end();
  });

  it('reports a record that cannot be read', (t) => {
    const owner = new Owner(new ManualClock());
    const restored = (text: string): boolean =>
      TurnRecord.restore(Buffer.from(text), owner.forecast, owner.sizer, owner.clock).isErr();
    t.ok(restored('{'));
    t.ok(restored('{"turns":[{"poolId":1}],"pools":[]}'));
    t.same(owner.forecast.recorded, []);
    t.end();
  });
});
