/** Tests what an owner takes as proof that it still owns the journal. */
import { ManualClock, Random } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { EXTENSION_BOUND_MS, Ownership } from './Ownership.js';
import { PausableClock } from './testing/PausableClock.js';
import { SimulatedLog } from './testing/SimulatedLog.js';
import { SimulatedStore } from './testing/SimulatedStore.js';

const OWNER_RECORD = { entryId: 'e0', bootMs: 1, peerAddress: 'e0:1', formerMayExtend: false };
const STEP_MS = 5;
const PAUSE_MS = 6_000;

class Fixture {
  readonly base = new ManualClock();

  readonly clock = new PausableClock(this.base);

  readonly store = new SimulatedStore(this.base, new Random(1));

  readonly ownership = new Ownership(
    new SimulatedLog(this.store, this.clock, { isDown: false, lostAnswerShare: 0, latencyMs: 0 }),
    { epoch: 0, nextOffset: 0, records: [] },
    OWNER_RECORD,
    this.clock,
  );

  async run(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.base.advance(STEP_MS);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  /** Pauses the process while an append is in flight; its answer is there when it resumes. */
  async pauseDuringAppend(keepsTime: boolean): Promise<void> {
    await this.run(100);
    this.store.faults.latencyMs = 20;
    void this.ownership.writer.write('key', () => Buffer.from('value'));
    await this.run(10);
    this.clock.pause(keepsTime);
    await this.run(PAUSE_MS);
    this.store.faults.latencyMs = 4;
    // Another entry claims during the pause, after the append has been executed.
    this.store.append(this.store.records.length, [{ key: 'claim', value: Buffer.from('other') }]);
    this.clock.resume();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

describe('Ownership', () => {
  [true, false].forEach((keepsTime) => {
    const time = keepsTime ? 'goes on' : 'stands still';
    it(`takes no answer from before a pause as proof, if monotonic time ${time}`, async (t) => {
      // Fails if an acknowledgement counts from when it is received: the append was acknowledged
      // before another entry claimed, and the paused owner would extend leases after that claim.
      const fixture = new Fixture();
      await fixture.pauseDuringAppend(keepsTime);
      t.equal(fixture.ownership.writer.stalledMs, 0, 'the answer has been received');
      t.ok(fixture.ownership.isActive, 'the owner does not know of the other claim yet');
      t.notOk(fixture.ownership.mayExtendLeases);
      t.notOk(fixture.ownership.isProven);
      t.notOk(fixture.ownership.isStorePrompt);
    });
  });

  it('counts the bound from the sending of the append', async (t) => {
    const fixture = new Fixture();
    await fixture.run(100);
    fixture.store.faults.latencyMs = 100;
    const sentMs = fixture.clock.monotonicMs();
    void fixture.ownership.writer.write('key', () => Buffer.from('value'));
    await fixture.run(EXTENSION_BOUND_MS);
    t.equal(fixture.ownership.writer.stalledMs, 0, 'acknowledged');
    t.ok(fixture.ownership.writer.lastDurableMs >= sentMs);
    await fixture.run(100);
    t.notOk(fixture.ownership.mayExtendLeases);
  });
});
