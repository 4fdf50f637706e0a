import { describe, it } from '@acaciadock/core/testing';
import fc from 'fast-check';
import { FaultPlanner } from './FaultPlan.js';
import { FleetSimulation } from './FleetSimulation.js';

const SEED = 20_261_203;
const RUNS = 60;
const MOST_HEALING_MS = 30_000;

describe('a fleet under random faults', () => {
  it(`never runs more than a team's limit, and all credits return (seed ${SEED})`, (t) => {
    const course = fc.property(fc.integer({ min: 1, max: 2 ** 30 }), (seed) => {
      const outcome = new FleetSimulation(new FaultPlanner(seed).plan()).run();
      const { violations, usableAfterMs, massLoss } = outcome;
      const returned = usableAfterMs !== undefined && usableAfterMs <= MOST_HEALING_MS;
      return violations.length === 0 && (returned || massLoss);
    });
    t.doesNotThrow(() => fc.assert(course, { seed: SEED, numRuns: RUNS }));
    t.end();
  });

  it('takes the same course for the same seed', (t) => {
    const run = () => new FleetSimulation(new FaultPlanner(SEED).plan()).run();
    t.same(run(), run());
    t.end();
  });
});
