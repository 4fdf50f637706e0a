/** Guards against an overloaded owner whose log does not show what it spends its time on. */
import { describe, it } from '@acaciadock/core/testing';
import { OwnerLoadLog } from './OwnerLoadLog.js';
import { RunFixture } from './testing/RunFixture.js';

const TICK_MS = 50;

class LoadFixture extends RunFixture {
  busyMs = 400;

  readonly log = new OwnerLoadLog(TICK_MS, {
    meter: this.meter,
    busyMs: () => this.busyMs,
    jobs: this.jobs,
    targets: this.targets,
    clock: this.clock,
    logger: this.logger,
  });

  tickAfter(elapsedMs: number): void {
    this.clock.advance(elapsedMs);
    this.log.tick();
  }
}

describe('OwnerLoadLog', () => {
  it('logs the time of each part, the busy share of the event loop and the longest delay', (t) => {
    const fixture = new LoadFixture(2);
    fixture.start(fixture.accept('one'), 't0');
    fixture.accept('two', { taskCount: 3 });
    fixture.meter.measure('placement', () => fixture.clock.advance(300));
    fixture.busyMs += 750;
    fixture.tickAfter(TICK_MS);
    fixture.tickAfter(650);
    t.match(fixture.logger.of('owner-load'), [
      {
        periodMs: 1_000,
        busyShare: 0.75,
        timerDelayMs: 600,
        jobs: 2,
        waitingTasks: 3,
        targets: 2,
        runs: 1,
        parts: [{ part: 'placement', totalMs: 300, longestMs: 300, count: 1 }],
      },
    ]);
  });

  it('writes a line a second and starts the figures anew with each', (t) => {
    const fixture = new LoadFixture(1);
    fixture.meter.measure('placement', () => fixture.clock.advance(900));
    fixture.tickAfter(100);
    Array.from({ length: 20 }, () => fixture.tickAfter(TICK_MS));
    t.match(fixture.logger.of('owner-load'), [
      { timerDelayMs: 950 },
      { timerDelayMs: 0, busyShare: 0, parts: [] },
    ]);
  });
});
