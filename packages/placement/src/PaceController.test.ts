/** Tests the pace of filler tasks against a linear model of their effect on tail latency. */
import { describe, it } from '@acaciadock/core/testing';
import { PaceController } from './PaceController.js';

const READING_PERIOD_MS = 500;
const TARGET_MS = 100;

/** Tail latency of a serving task while the fillers work at `percent`. */
function tailMs(percent: number, load: number): number {
  return 40 + load * percent;
}

describe('PaceController', () => {
  it('brings the tail latency back below its bound within 2.5 seconds', (t) => {
    const controller = new PaceController();
    let percent = 100;
    // Time without a break for which the tail latency has exceeded its bound. Operators allow at
    // most 4 s while filler tasks run.
    let harmMs = 0;
    for (let nowMs = 0; nowMs < 10_000; nowMs += READING_PERIOD_MS) {
      const tail = tailMs(percent, 3);
      harmMs = tail > TARGET_MS ? harmMs + READING_PERIOD_MS : 0;
      t.ok(harmMs <= 2_500, `${harmMs} ms above the bound without a break`);
      percent = controller.next([{ tailMs: tail, targetMs: TARGET_MS }], nowMs);
    }
  });

  it('returns to the full pace while the serving tasks are well below their bounds', (t) => {
    const controller = new PaceController();
    controller.next([{ tailMs: 200, targetMs: TARGET_MS }], 0);
    let percent = 0;
    for (let nowMs = READING_PERIOD_MS; nowMs < 20_000; nowMs += READING_PERIOD_MS) {
      percent = controller.next([{ tailMs: 20, targetMs: TARGET_MS }], nowMs);
    }
    t.equal(percent, 100);
  });

  it('uses the spare capacity beside a serving task under steady load', (t) => {
    const controller = new PaceController();
    let percent = 100;
    let sum = 0;
    let over = 0;
    for (let nowMs = 0; nowMs < 60_000; nowMs += READING_PERIOD_MS) {
      const tail = tailMs(percent, 1);
      over += tail > TARGET_MS ? 1 : 0;
      percent = controller.next([{ tailMs: tail, targetMs: TARGET_MS }], nowMs);
      sum += percent;
    }
    t.ok(over <= 3, `${over} readings above the bound`);
    t.ok(sum / 120 >= 15, `${Math.round(sum / 120)} percent on average`);
  });

  it('keeps the full pace beside tasks without a latency bound', (t) => {
    const controller = new PaceController();
    t.equal(controller.next([{ tailMs: 9_000, targetMs: 0 }], 0), 100);
  });
});
