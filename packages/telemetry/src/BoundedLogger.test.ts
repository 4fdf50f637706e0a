/** Rate limit and backpressure of the logger: lines are dropped, never delayed. */
import { type LogFields, type Logger, ManualClock, SilentLogger } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { BoundedLogger } from './BoundedLogger.js';

class CountingLogger extends SilentLogger {
  readonly events: string[] = [];

  override info(event?: string): void {
    this.events.push(event ?? '');
  }

  override warn(event?: string, fields?: LogFields): void {
    this.events.push(`${event} ${String(fields?.lines)}`);
  }
}

interface Fixture {
  readonly inner: CountingLogger;
  readonly clock: ManualClock;
  readonly logger: Logger;
  eventCount: number;
  waitingBytes: number;
}

function createFixture(writesDebug = true): Fixture {
  const inner = new CountingLogger();
  const clock = new ManualClock();
  const fixture = { inner, clock, eventCount: 0, waitingBytes: 0 };
  const logger = new BoundedLogger({
    inner,
    writesDebug,
    clock,
    sink: {
      note: () => {
        fixture.eventCount += 1;
      },
    },
    waitingBytes: () => fixture.waitingBytes,
  });
  return Object.assign(fixture, { logger });
}

describe('BoundedLogger', () => {
  it('writes every line beside many debug lines that the inner logger discards', (t) => {
    // Fails if discarded lines use up the limit: at 1,200 debug lines a second, 45 of 100 lines of
    // level info were lost.
    const { logger, inner, clock } = createFixture(false);
    for (let tenth = 0; tenth < 100; tenth += 1) {
      for (let line = 0; line < 120; line += 1) logger.debug('order');
      logger.info('decision');
      clock.advance(100);
    }
    t.equal(inner.events.length, 100);
  });

  it('drops lines above the rate limit, counts their events, and reports the drops', (t) => {
    const fixture = createFixture();
    for (let line = 0; line < 10_000; line += 1) fixture.logger.info('flood');
    t.ok(fixture.inner.events.length <= 3_100, `${fixture.inner.events.length} lines`);
    t.equal(fixture.eventCount, 10_000, 'every event is counted');
    fixture.clock.advance(2_000);
    fixture.logger.info('after');
    t.match(fixture.inner.events.at(-2), /log-lines-dropped 7000/);
  });

  it('drops lines instead of blocking while the reader of the stream lags', (t) => {
    const fixture = createFixture();
    fixture.waitingBytes = 2_000_000;
    fixture.logger.info('lost');
    t.same(fixture.inner.events, []);
  });
});
