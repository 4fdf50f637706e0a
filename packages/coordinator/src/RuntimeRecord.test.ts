/** Tests what a new owner keeps of the runtimes that the previous one learned. */
import { ManualClock, SilentLogger } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { RuntimeEstimates } from '@acaciadock/placement';
import { type Ownership } from './Ownership.js';
import { RuntimeRecord, RUNTIMES_KEY } from './RuntimeRecord.js';

const DECLARED_MS = 200;

class Fixture {
  readonly estimates = new RuntimeEstimates();

  readonly clock = new ManualClock();

  written: Buffer[] = [];

  readonly record: RuntimeRecord;

  constructor() {
    const writer = {
      write: (_key: string, encode: () => Buffer): Promise<'durable'> => {
        this.written.push(encode());
        return Promise.resolve('durable');
      },
    };
    this.record = new RuntimeRecord(this.estimates, {
      ownership: { writer } as unknown as Ownership,
      clock: this.clock,
      logger: new SilentLogger(),
    });
  }

  endRuns(count: number, runtimeMs: number): void {
    for (let run = 0; run < count; run += 1) this.estimates.record('q', runtimeMs + run);
  }
}

describe('RuntimeRecord', () => {
  it('lets a new owner estimate like the previous one', (t) => {
    // Fails if a new owner goes by declared runtimes, which are off by several times.
    const previous = new Fixture();
    previous.endRuns(100, 1_000);
    previous.record.update();
    const owner = new Fixture();
    t.ok(owner.record.restore(RUNTIMES_KEY, previous.written[0] ?? Buffer.of()));
    const { estimates } = owner;
    const wantedMs = previous.estimates.meanMs('q', DECLARED_MS);
    t.ok(Math.abs(estimates.meanMs('q', DECLARED_MS) - wantedMs) <= 0.5);
    t.ok(wantedMs > 1_000 && wantedMs < 1_100, `${wantedMs} ms`);
    t.ok(Math.abs(estimates.medianMs('q') - 1_050) < 30);
    t.ok(estimates.isTrusted('q', 8));
    t.equal(estimates.meanMs('other', DECLARED_MS), DECLARED_MS);
    t.end();
  });

  it('journals at most once a second, and only after further runs', (t) => {
    const { record, written, clock, ...fixture } = new Fixture();
    record.update();
    t.equal(written.length, 0, 'nothing is known yet');
    fixture.estimates.record('q', 500);
    record.update();
    fixture.estimates.record('q', 500);
    record.update();
    t.equal(written.length, 1);
    clock.advance(1_000);
    record.update();
    t.equal(written.length, 2);
    clock.advance(5_000);
    record.update();
    t.equal(written.length, 2);
    t.end();
  });

  it('ignores other keys, and learns anew from a record that cannot be read', (t) => {
    // A malformed record must neither end the process nor be taken for runtimes.
    const { record, estimates } = new Fixture();
    t.notOk(record.restore('shares', Buffer.from('[]')));
    ['{', '{}', '[{"queueId":"q","meanMs":-1}]'].forEach((text) => {
      t.ok(record.restore(RUNTIMES_KEY, Buffer.from(text)));
    });
    t.equal(estimates.meanMs('q', DECLARED_MS), DECLARED_MS);
    t.end();
  });
});
