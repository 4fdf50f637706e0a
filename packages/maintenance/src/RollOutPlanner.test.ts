import fc from 'fast-check';
import { type InstanceId } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type ConfigDocument } from '@acaciadock/config';
import { AvailabilityBudget } from './AvailabilityBudget.js';
import { type NextStep, RollOutPlanner } from './RollOutPlanner.js';
import { fleetDocument } from './testing/fleetDocument.js';

const SEED = 6;
const RUNS = 300;

function next(
  document: ConfigDocument,
  waiting: readonly InstanceId[],
  underWay: readonly InstanceId[] = [],
  racksAtOnce = 1,
): NextStep {
  const budget = new AvailabilityBudget(document, new Set(underWay), new Map());
  return new RollOutPlanner(document).next({ waiting, underWay, racksAtOnce }, budget);
}

describe('RollOutPlanner', () => {
  const document = fleetDocument({
    pools: [{ poolId: 'a', instances: 8, minServingInstances: 4 }],
    racks: 4,
    zones: 2,
  });
  const all = Object.keys(document.instances);

  it('takes one rack at a time', (t) => {
    t.same(next(document, all), { kind: 'step', instanceIds: ['a0', 'a4'] });
  });

  it('stays within a zone while a step is under way', (t) => {
    const rest = all.filter((id) => id !== 'a0' && id !== 'a4');
    t.same(next(document, rest, ['a0', 'a4'], 4), { kind: 'wave-under-way' });
  });

  it('reports the pool that cannot spare an instance', (t) => {
    const tight = fleetDocument({
      pools: [{ poolId: 'a', instances: 4, minServingInstances: 3 }],
      racks: 4,
    });
    t.same(next(tight, ['a0']), {
      kind: 'blocked',
      shortfalls: [{ kind: 'budget-shortfall', poolId: 'a', missingInstances: 1, missingSlots: 0 }],
    });
  });

  it('takes part of a rack if the budget does not allow all of it', (t) => {
    const tight = fleetDocument({
      pools: [{ poolId: 'a', instances: 8, minServingInstances: 5 }],
      racks: 4,
      zones: 2,
    });
    t.same(next(tight, Object.keys(tight.instances)), { kind: 'step', instanceIds: ['a0'] });
  });

  it('plans a step even if the demand fills the pool', (t) => {
    const demand = new Map([['service-a', 8 * 8]]);
    const budget = new AvailabilityBudget(document, new Set(), demand);
    const work = { waiting: all, underWay: [], racksAtOnce: 1 };
    t.equal(new RollOutPlanner(document).next(work, budget).kind, 'step');
  });

  it(`keeps every budget with the step out of service and any rack lost (seed ${SEED})`, () => {
    const pool = fc.record({
      instances: fc.integer({ min: 1, max: 12 }),
      minServingInstances: fc.integer({ min: 0, max: 10 }),
    });
    const arbitrary = fc.record({
      pools: fc.array(pool, { minLength: 1, maxLength: 4 }),
      racks: fc.integer({ min: 1, max: 8 }),
      zones: fc.integer({ min: 1, max: 3 }),
      racksAtOnce: fc.integer({ min: 1, max: 3 }),
    });
    fc.assert(
      fc.property(arbitrary, ({ pools, racks, zones, racksAtOnce }) => {
        const named = pools.map((shape, index) => ({ ...shape, poolId: `p${index}x` }));
        const fleet = fleetDocument({ pools: named, racks, zones });
        const step = next(fleet, Object.keys(fleet.instances), [], racksAtOnce);
        if (step.kind !== 'step') return true;
        const out = new Set(step.instanceIds);
        const serving = Object.entries(fleet.instances).filter(([id]) => !out.has(id));
        const touched = new Set(step.instanceIds.map((id) => fleet.instances[id]?.poolId));
        return named.every(({ poolId, minServingInstances }) => {
          if (!touched.has(poolId)) return true;
          return Array.from({ length: racks }, (_, rack) => `k${rack}`).every((lost) => {
            const left = serving.filter(([, i]) => i.poolId === poolId && i.rackId !== lost);
            return left.length >= minServingInstances;
          });
        });
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
