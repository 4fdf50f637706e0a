/** Guards against filler tasks that slow down the serving tasks beside them, or stay slow alone. */
import { type PaceOrder } from '@acaciadock/execution';
import { describe, it } from '@acaciadock/core/testing';
import { ok } from 'neverthrow';
import { FillerPacer, PACE_PERIOD_MS } from './FillerPacer.js';
import { type LiveRun } from './LiveRun.js';
import { RunFixture } from './testing/RunFixture.js';

const TAIL_TARGET_MS = 100;

interface Pacing {
  readonly fixture: RunFixture;
  readonly orders: PaceOrder[];
  readonly serving: LiveRun;
  readonly update: () => void;
}

function createPacing(): Pacing {
  const fixture = new RunFixture(1);
  const orders: PaceOrder[] = [];
  const pacer = new FillerPacer(fixture.target('t0'), {
    port: {
      pace: (_, order) => {
        orders.push(order);
        return Promise.resolve(ok({ clockMs: 0 }));
      },
    },
    ownership: { epoch: 7 },
    clock: fixture.clock,
    log: () => undefined,
  });
  const job = fixture.accept('serving', { longRunning: true, tailTargetMs: TAIL_TARGET_MS });
  const serving = fixture.start(job, 't0');
  fixture.start(fixture.accept('filler', { filler: true, longRunning: true }), 't0');
  const update = (): void => {
    fixture.clock.advance(PACE_PERIOD_MS);
    pacer.update();
  };
  return { fixture, orders, serving, update };
}

describe('FillerPacer', () => {
  it('slows the filler tasks down while a serving task misses its target', (t) => {
    const { orders, serving, update } = createPacing();
    serving.loadFigure = 3 * TAIL_TARGET_MS;
    update();
    t.match(orders, [{ taskId: 'filler.0.0.0', run: 1, fencingToken: 7 }]);
    t.ok((orders[0]?.percent ?? 100) < 100);
  });

  it('sends no order while the serving tasks keep their targets', (t) => {
    const { orders, serving, update } = createPacing();
    serving.loadFigure = TAIL_TARGET_MS / 4;
    update();
    t.same(orders, []);
  });

  it('lets the filler tasks work again once the serving tasks are well', (t) => {
    const { orders, serving, update } = createPacing();
    serving.loadFigure = 3 * TAIL_TARGET_MS;
    update();
    serving.loadFigure = TAIL_TARGET_MS / 4;
    for (let count = 0; count < 60; count += 1) update();
    t.equal(orders.at(-1)?.percent, 100);
  });
});
