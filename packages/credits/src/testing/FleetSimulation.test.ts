import { describe, it } from '@acaciadock/core/testing';
import fc from 'fast-check';
import { FaultPlanner } from './FaultPlanner.js';
import { FleetSimulation } from './FleetSimulation.js';

const SEED = 20_261_203;
const RUNS = 60;
const MAX_RECOVERY_MS = 30_000;

describe('FleetSimulation under random faults', () => {
  it(`never exceeds a team's limit, and all credits become usable again (seed ${SEED})`, (t) => {
    const property = fc.property(fc.integer({ min: 1, max: 2 ** 30 }), (seed) => {
      const outcome = new FleetSimulation(new FaultPlanner(seed).plan()).run();
      const { violations, usableAfterMs, massLoss } = outcome;
      const recovered = usableAfterMs !== undefined && usableAfterMs <= MAX_RECOVERY_MS;
      return violations.length === 0 && (recovered || massLoss);
    });
    t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: RUNS }));
    t.end();
  });

  it('is deterministic for a given seed', (t) => {
    const run = () => new FleetSimulation(new FaultPlanner(SEED).plan()).run();
    t.same(run(), run());
    t.end();
  });
});
