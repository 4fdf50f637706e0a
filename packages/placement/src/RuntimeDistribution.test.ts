/** Tests the runtimes of a queue: figures of the window, and which queues have a heavy tail. */
import { describe, it } from '@acaciadock/core/testing';
import { RuntimeDistribution } from './RuntimeDistribution.js';
import { RuntimeEstimates } from './RuntimeEstimates.js';

/** Records 500 ms, and seven times as much for 3 of 100 runs. */
function recordTail(record: (runtimeMs: number, isLong: boolean) => void, runs: number): void {
  for (let run = 0; run < runs; run += 1) {
    const isLong = run % 100 < 3;
    record(isLong ? 3_500 : 500, isLong);
  }
}

describe('RuntimeDistribution', () => {
  it('keeps a tail out of the median and in the mean', (t) => {
    const runtimes = new RuntimeDistribution();
    recordTail((runtimeMs) => runtimes.record(runtimeMs), 400);
    t.ok(Math.abs(runtimes.medianMs - 500) < 10);
    t.ok(Math.abs(runtimes.meanMs - 590) < 30, `mean ${runtimes.meanMs}`);
    t.ok(runtimes.quantileMs(0.99) > 3_400);
  });

  it('expects a run beyond the median to belong to the tail', (t) => {
    const runtimes = new RuntimeDistribution();
    recordTail((runtimeMs) => runtimes.record(runtimeMs), 400);
    t.ok((runtimes.remainingMs(100) ?? 0) < 600);
    t.ok(Math.abs((runtimes.remainingMs(1_000) ?? 0) - 2_500) < 50);
    t.equal(runtimes.remainingMs(4_000), undefined);
  });

  it('drops old runtimes', (t) => {
    // Fails if the window only grows: a queue whose tasks change would be judged by its past.
    const runtimes = new RuntimeDistribution();
    for (let run = 0; run < 5_000; run += 1) runtimes.record(500);
    for (let run = 0; run < 520; run += 1) runtimes.record(2_000);
    t.ok(runtimes.quantileMs(0.01) > 1_900);
    t.ok(runtimes.count <= 520);
  });
});

describe('RuntimeEstimates', () => {
  it('knows the tail of a queue once enough runs on sound targets have ended', (t) => {
    const estimates = new RuntimeEstimates();
    const record = (runtimeMs: number, isLong: boolean): void => {
      estimates.record('q', runtimeMs);
      estimates.recordOnSoundTarget('q', isLong);
    };
    recordTail(record, 100);
    t.equal(estimates.tailKind('q'), 'unknown');
    recordTail(record, 400);
    t.equal(estimates.tailKind('q'), 'heavy');
    t.ok(Math.abs(estimates.meanMs('q', 0) - 590) < 30, 'the mean does not follow single runs');
  });

  it('keeps the moving average of a queue without a tail', (t) => {
    const estimates = new RuntimeEstimates();
    let meanMs = 0;
    for (let run = 0; run < 300; run += 1) {
      const runtimeMs = 400 + (run % 7) * 40;
      meanMs += (runtimeMs - meanMs) * Math.max(0.02, 1 / (run + 1));
      estimates.record('q', runtimeMs);
      estimates.recordOnSoundTarget('q', false);
    }
    t.equal(estimates.tailKind('q'), 'negligible');
    t.ok(Math.abs(estimates.meanMs('q', 0) - meanMs) < 1e-6);
  });
});
