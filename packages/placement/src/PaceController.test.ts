/** Filling tasks beside tasks that serve, against a model of the harm they do. */
import { describe, it } from '@acaciadock/core/testing';
import { PaceController } from './PaceController.js';

const READING_MS = 500;
const TARGET_MS = 100;

/** The tail that a serving task shows while fillers work at `percent`. */
function tailMs(percent: number, load: number): number {
  return 40 + load * percent;
}

describe('PaceController', () => {
  it('ends harm well within the four seconds that are allowed', (t) => {
    const controller = new PaceController();
    let percent = 100;
    let harmMs = 0;
    for (let nowMs = 0; nowMs < 10_000; nowMs += READING_MS) {
      const tail = tailMs(percent, 3);
      harmMs = tail > TARGET_MS ? harmMs + READING_MS : 0;
      t.ok(harmMs <= 2_500, `${harmMs} ms over the bound on end`);
      percent = controller.next([{ tailMs: tail, targetMs: TARGET_MS }], nowMs);
    }
  });

  it('gives the room back when the neighbours are calm', (t) => {
    const controller = new PaceController();
    controller.next([{ tailMs: 200, targetMs: TARGET_MS }], 0);
    let percent = 0;
    for (let nowMs = READING_MS; nowMs < 20_000; nowMs += READING_MS) {
      percent = controller.next([{ tailMs: 20, targetMs: TARGET_MS }], nowMs);
    }
    t.equal(percent, 100);
  });

  it('wastes little room beside a steady neighbour', (t) => {
    const controller = new PaceController();
    let percent = 100;
    let sum = 0;
    let over = 0;
    for (let nowMs = 0; nowMs < 60_000; nowMs += READING_MS) {
      const tail = tailMs(percent, 1);
      over += tail > TARGET_MS ? 1 : 0;
      percent = controller.next([{ tailMs: tail, targetMs: TARGET_MS }], nowMs);
      sum += percent;
    }
    t.ok(over <= 3, `${over} readings over the bound`);
    t.ok(sum / 120 >= 15, `${Math.round(sum / 120)} percent on average`);
  });

  it('works at full share beside tasks without a bound', (t) => {
    const controller = new PaceController();
    t.equal(controller.next([{ tailMs: 9_000, targetMs: 0 }], 0), 100);
  });
});
