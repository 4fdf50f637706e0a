/** Bounded logs. */
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

interface Rig {
  readonly inner: CountingLogger;
  readonly clock: ManualClock;
  readonly logger: Logger;
  noted: number;
  waitingBytes: number;
}

function newRig(): Rig {
  const inner = new CountingLogger();
  const clock = new ManualClock();
  const rig = { inner, clock, noted: 0, waitingBytes: 0 };
  const logger = new BoundedLogger({
    inner,
    clock,
    sink: {
      note: () => {
        rig.noted += 1;
      },
    },
    waitingBytes: () => rig.waitingBytes,
  });
  return Object.assign(rig, { logger });
}

describe('BoundedLogger', () => {
  it('drops what exceeds the rate, counts it, and says so later', (t) => {
    const rig = newRig();
    for (let line = 0; line < 10_000; line += 1) rig.logger.info('flood');
    t.ok(rig.inner.events.length <= 3_100, `${rig.inner.events.length} lines`);
    t.equal(rig.noted, 10_000, 'every event is counted');
    rig.clock.advance(2_000);
    rig.logger.info('after');
    t.match(rig.inner.events.at(-2), /log-lines-dropped 7000/);
  });

  it('drops lines while the reader lags, instead of waiting', (t) => {
    const rig = newRig();
    rig.waitingBytes = 2_000_000;
    rig.logger.info('lost');
    t.same(rig.inner.events, []);
  });
});
