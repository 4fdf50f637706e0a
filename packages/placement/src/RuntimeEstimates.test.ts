/** Tests what is learned of a queue's runtimes, and what another process continues from. */
import { describe, it } from '@acaciadock/core/testing';
import { RuntimeEstimates } from './RuntimeEstimates.js';

const DECLARED_MS = 200;

function record(estimates: RuntimeEstimates, count: number, runtimeMs: number): void {
  for (let run = 0; run < count; run += 1) estimates.record('q', runtimeMs);
}

describe('RuntimeEstimates', () => {
  it('takes the declared runtime until a run has ended', (t) => {
    const estimates = new RuntimeEstimates();
    t.equal(estimates.meanMs('q', DECLARED_MS), DECLARED_MS);
    record(estimates, 1, 500);
    t.equal(estimates.meanMs('q', DECLARED_MS), 500);
    t.end();
  });

  it('does not follow the tasks of a single job', (t) => {
    // Fails if ten runs of one large job double the estimate by which all others are ordered.
    const estimates = new RuntimeEstimates();
    record(estimates, 100, 500);
    record(estimates, 10, 1_500);
    const meanMs = estimates.meanMs('q', DECLARED_MS);
    t.ok(meanMs > 550 && meanMs < 750, `${meanMs} ms`);
    t.end();
  });

  it('follows a lasting change within about a hundred runs', (t) => {
    const estimates = new RuntimeEstimates();
    record(estimates, 200, 500);
    record(estimates, 100, 1_500);
    const meanMs = estimates.meanMs('q', DECLARED_MS);
    t.ok(meanMs > 1_300, `${meanMs} ms`);
    t.end();
  });

  it('continues from what another process knew', (t) => {
    const known = new RuntimeEstimates();
    for (let run = 0; run < 400; run += 1) known.record('q', 800 + run);
    const restored = new RuntimeEstimates();
    restored.restore(known.memories);
    t.equal(restored.meanMs('q', DECLARED_MS), known.meanMs('q', DECLARED_MS));
    t.ok(Math.abs(restored.medianMs('q') - known.medianMs('q')) < 30);
    t.equal(restored.recordedCount, 400);
    t.end();
  });
});
