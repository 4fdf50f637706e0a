import fc from 'fast-check';
import { describe, it } from '@acaciadock/core/testing';
import { type PolicyWeights } from '@acaciadock/config';
import { fleetShape } from './FleetShape.js';
import { SparePlanner } from './SparePlanner.js';
import { fleetDocument, type TestLayout } from './testing/fleetDocument.js';
import { WaveScheduler } from './WaveScheduler.js';

const SEED = 14;
const TIMES = { stepMs: 60_000, moveMs: 10_000 };
const LAYOUT: TestLayout = {
  pools: [
    { poolId: 'a', instances: 6, minServingInstances: 4 },
    { poolId: 'b', instances: 6, minServingInstances: 5 },
    { poolId: 's', instances: 2 },
  ],
  racks: 7,
};

function planner(weights: Partial<PolicyWeights>, layout = LAYOUT): SparePlanner {
  const document = fleetDocument(layout);
  const all = { bufferCost: 1, rollOutTime: 1, moves: 1, shareError: 1, ...weights };
  return new SparePlanner(
    { ...document, policy: { ...document.policy, weights: all } },
    new Map(),
    TIMES,
  );
}

describe('SparePlanner', () => {
  it('keeps a larger buffer if time and share error outweigh buffer and moves', (t) => {
    const quick = planner({ rollOutTime: 5, shareError: 5 }).choose().chosen;
    const frugal = planner({ bufferCost: 5, moves: 5 }).choose().chosen;
    t.ok(quick.bufferInstances > frugal.bufferInstances);
    t.ok(quick.schedule.durationMs < frugal.schedule.durationMs);
  });

  it('never costs more than a baseline that maintains every instance', (t) => {
    [{}, { bufferCost: 9 }, { moves: 9 }, { rollOutTime: 9 }, { shareError: 9 }].forEach(
      (weights) => {
        const { chosen, baselines } = planner(weights).choose();
        t.ok(chosen.isFeasible);
        Object.values(baselines)
          .filter(({ isFeasible }) => isFeasible)
          .forEach((baseline) => t.ok(chosen.cost <= baseline.cost));
      },
    );
  });

  it('reports the instances that cannot be maintained without spares', (t) => {
    const { baselines } = planner({}).choose();
    t.equal(baselines['no-buffer'].schedule.leftOut, 6, 'all of pool b');
    t.notOk(baselines['no-buffer'].isFeasible);
  });

  it('lends spares in turn if there are fewer spares than pools that need one', (t) => {
    const shape = fleetShape(
      fleetDocument({
        pools: [
          { poolId: 'a', instances: 4, minServingInstances: 3 },
          { poolId: 'b', instances: 4, minServingInstances: 3 },
        ],
        racks: 8,
      }),
      new Map(),
    );
    const use = { racksAtOnce: 1, kept: [0, 0], shared: 1 };
    const schedule = new WaveScheduler(shape, use, TIMES).schedule();
    t.equal(schedule.leftOut, 0);
    t.equal(schedule.moves, 4);
    t.equal(schedule.durationMs, 8 * TIMES.stepMs + 4 * TIMES.moveMs);
  });

  it(`every wave leaves each pool its minimum with any rack lost (seed ${SEED})`, () => {
    const pool = fc.record({
      instances: fc.integer({ min: 1, max: 15 }),
      minServingInstances: fc.integer({ min: 1, max: 12 }),
    });
    const arbitrary = fc.record({
      pools: fc.array(pool, { minLength: 1, maxLength: 4 }),
      racks: fc.integer({ min: 1, max: 10 }),
      racksAtOnce: fc.integer({ min: 1, max: 4 }),
      kept: fc.integer({ min: 0, max: 2 }),
    });
    fc.assert(
      fc.property(arbitrary, ({ pools, racks, racksAtOnce, kept }) => {
        const named = pools.map((shape, index) => ({ ...shape, poolId: `p${index}x` }));
        const document = fleetDocument({ pools: named, racks });
        const use = { racksAtOnce, kept: named.map(() => kept), shared: 0 };
        const { waves, leftOut } = new WaveScheduler(
          fleetShape(document, new Map()),
          use,
          TIMES,
        ).schedule();
        const taken = waves.flatMap(({ instanceIds }) => instanceIds);
        const holds = waves.every(({ instanceIds }) => {
          const out = new Set(instanceIds);
          const touched = new Set(instanceIds.map((id) => document.instances[id]?.poolId));
          const serving = Object.entries(document.instances).filter(([id]) => !out.has(id));
          return named.every(({ poolId, minServingInstances }) => {
            if (!touched.has(poolId)) return true;
            return Array.from({ length: racks }, (_, rack) => `k${rack}`).every((lost) => {
              const left = serving.filter(([, i]) => i.poolId === poolId && i.rackId !== lost);
              return left.length + kept >= minServingInstances;
            });
          });
        });
        const all = Object.keys(document.instances).length;
        return holds && new Set(taken).size === taken.length && taken.length + leftOut === all;
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});
