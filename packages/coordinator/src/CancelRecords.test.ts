/** Tests the records of cancels of unknown jobs, also those of earlier builds. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { CancelRecords, MAX_CANCELS_PER_TEAM } from './CancelRecords.js';
import { type Ownership } from './Ownership.js';

const RETENTION_MS = 1_000;
const SCOPE = { queueId: 'q', teamId: 't' };

class Fixture {
  readonly clock = new ManualClock();

  /** The newest records by key. */
  readonly stored = new Map<string, Buffer | undefined>();

  readonly cancels = this.createRecords();

  createRecords(): CancelRecords {
    const ownership = {
      writer: {
        write: (key: string, encode: () => Buffer) => {
          this.stored.set(key, encode());
          return Promise.resolve('durable');
        },
        delete: (key: string) => this.stored.delete(key),
      },
    };
    return new CancelRecords(ownership as unknown as Ownership, this.clock);
  }

  /** The records as the next owner restores them. */
  restored(): CancelRecords {
    const restored = this.createRecords();
    this.stored.forEach((value, key) => value && restored.restore(key, value));
    return restored;
  }
}

describe('CancelRecords', () => {
  it('restores the queues on which a cancel was sent', (t) => {
    // Fails if a cancel on one queue replaces that on another.
    const fixture = new Fixture();
    void fixture.cancels.add('a', SCOPE);
    void fixture.cancels.add('a', { ...SCOPE, queueId: 'other' });
    const restored = fixture.restored();
    t.ok(restored.has('a', SCOPE));
    t.ok(restored.has('a', { ...SCOPE, queueId: 'other' }));
    t.notOk(restored.has('a', { ...SCOPE, queueId: 'third' }));
    t.notOk(restored.has('a', { ...SCOPE, teamId: 'other' }));
  });

  it('keeps a cancel of an earlier build in force on every queue of its team', (t) => {
    // Fails if an upgrade drops a confirmed cancel: earlier builds did not store the queue.
    const fixture = new Fixture();
    void fixture.cancels.add('a', SCOPE);
    const [[key]] = [...fixture.stored] as [[string, Buffer]];
    const former = { jobId: 'a', teamId: 't', cancelledUnixMs: fixture.clock.unixMs() };
    fixture.stored.set(key, Buffer.from(JSON.stringify(former)));
    const restored = fixture.restored();
    t.ok(restored.has('a', { ...SCOPE, queueId: 'any' }));
    t.notOk(restored.has('a', { ...SCOPE, teamId: 'other' }));
  });

  it('drops a cancel after the retention, in the journal, too', (t) => {
    const fixture = new Fixture();
    void fixture.cancels.add('a', SCOPE);
    fixture.clock.advance(RETENTION_MS + 1);
    fixture.cancels.dropOld(RETENTION_MS);
    t.notOk(fixture.cancels.has('a', SCOPE));
    t.equal(fixture.stored.size, 0);
  });

  it('limits the records of each team, also of those that a successor has restored', (t) => {
    // Fails if one team can fill the memory of one owner after the other with cancels of ids that nobody has.
    const fixture = new Fixture();
    for (let index = 0; index < MAX_CANCELS_PER_TEAM; index += 1)
      void fixture.cancels.add(`j${index}`, SCOPE);
    const restored = fixture.restored();
    for (const cancels of [fixture.cancels, restored]) {
      t.ok(cancels.isFull(SCOPE));
      t.notOk(cancels.isFull({ ...SCOPE, teamId: 'other' }));
      fixture.clock.advance(RETENTION_MS + 1);
      cancels.dropOld(RETENTION_MS);
      t.notOk(cancels.isFull(SCOPE));
    }
  });
});
