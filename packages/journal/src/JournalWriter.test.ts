/** Tests group commit against a log that rejects appends or leaves them without an answer. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { err, ok, type Result } from 'neverthrow';
import { type CommitOutcome } from './Commit.js';
import { JournalWriter } from './JournalWriter.js';
import { type KeyedRecord, type LogFailure, type LogSlice, RecordLog } from './RecordLog.js';

const STEP_MS = 10;
const SETTLE_MS = 500;

type Mode = 'answers' | 'rejects' | 'executes-silently' | 'never-answers';

class FaultyLog extends RecordLog {
  readonly records: KeyedRecord[] = [];

  mode: Mode = 'answers';

  override append(at: number, records: readonly KeyedRecord[]): Promise<Result<void, LogFailure>> {
    if (this.mode === 'never-answers') return new Promise(() => {});
    if (this.mode === 'rejects') return Promise.resolve(err({ kind: 'rejected', detail: '' }));
    if (at !== this.records.length) {
      return Promise.resolve(err({ kind: 'offset-mismatch', endOffset: this.records.length }));
    }
    this.records.push(...records.map(({ key, value }) => ({ key, value })));
    if (this.mode === 'answers') return Promise.resolve(ok(undefined));
    return Promise.resolve(err({ kind: 'unknown-outcome', detail: '' }));
  }

  override readNewest(): Promise<never> {
    throw new Error('not used by the writer');
  }

  override readFrom(offset: number): Promise<Result<LogSlice, LogFailure>> {
    const records = this.records
      .slice(offset)
      .map((record, index) => ({ ...record, offset: offset + index }));
    return Promise.resolve(ok({ records, nextOffset: this.records.length }));
  }
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

class Fixture {
  readonly clock = new ManualClock();

  readonly log = new FaultyLog();

  readonly writer = new JournalWriter(
    this.log,
    { epoch: 0, nextOffset: 0, records: [] },
    this.clock,
  );

  /** Outcomes by key, in the order in which they became known. */
  readonly outcomes: [string, CommitOutcome][] = [];

  write(key: string, value = key): void {
    void this.record(
      key,
      this.writer.write(key, () => Buffer.from(value)),
    );
  }

  create(key: string, value = key): void {
    void this.record(
      key,
      this.writer.create(key, () => Buffer.from(value)),
    );
  }

  private async record(key: string, commit: Promise<CommitOutcome>): Promise<void> {
    this.outcomes.push([key, await commit]);
  }

  async run(): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < SETTLE_MS; elapsedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await nextTurn();
    }
  }

  get keys(): string[] {
    return this.log.records.map(({ key }) => key);
  }
}

describe('JournalWriter', () => {
  describe('while the log rejects appends', () => {
    it('can still withdraw a key of the rejected batch', async (t) => {
      const fixture = new Fixture();
      fixture.log.mode = 'rejects';
      fixture.create('a');
      fixture.write('b');
      await fixture.run();
      t.ok(fixture.writer.withdraw('a'));
      fixture.log.mode = 'answers';
      await fixture.run();
      t.same(fixture.keys, ['b']);
    });

    it('settles the writes of a rejected batch together with later ones', async (t) => {
      const fixture = new Fixture();
      fixture.log.mode = 'rejects';
      fixture.write('a');
      await fixture.run();
      fixture.write('b');
      await fixture.run();
      t.same(fixture.outcomes, [], 'nothing is durable yet');
      fixture.log.mode = 'answers';
      await fixture.run();
      t.same(fixture.outcomes, [
        ['a', 'durable'],
        ['b', 'durable'],
      ]);
    });

    it('writes the newest value of a key that was written again', async (t) => {
      const fixture = new Fixture();
      fixture.log.mode = 'rejects';
      fixture.write('a', 'old');
      await fixture.run();
      fixture.write('a', 'new');
      fixture.log.mode = 'answers';
      await fixture.run();
      t.same(
        fixture.log.records.map(({ value }) => value?.toString()),
        ['new'],
      );
    });

    it('settles all writes as lost when it is disposed', async (t) => {
      const fixture = new Fixture();
      fixture.log.mode = 'rejects';
      fixture.write('a');
      await fixture.run();
      fixture.write('b');
      fixture.writer.dispose();
      await fixture.run();
      t.same(
        fixture.outcomes.map(([, outcome]) => outcome),
        ['ownership-lost', 'ownership-lost'],
      );
    });

    it('reports the stall and its end', async (t) => {
      const fixture = new Fixture();
      const events: string[] = [];
      fixture.writer.onStalled(({ kind }) => events.push(kind));
      fixture.writer.onResumed(({ records }) => events.push(`${records} records`));
      fixture.log.mode = 'rejects';
      fixture.write('a');
      await fixture.run();
      t.ok(fixture.writer.isRejected);
      fixture.log.mode = 'answers';
      await fixture.run();
      t.same(events, ['rejected', '1 records']);
      t.notOk(fixture.writer.isRejected);
    });
  });

  describe('when an append has an effect and no answer', () => {
    it('does not let its keys be withdrawn, and finds them in the log', async (t) => {
      const fixture = new Fixture();
      fixture.log.mode = 'executes-silently';
      fixture.create('a');
      await nextTurn();
      t.notOk(fixture.writer.withdraw('a'));
      fixture.log.mode = 'answers';
      await fixture.run();
      t.same(fixture.outcomes, [['a', 'durable']]);
      t.same(fixture.keys, ['a'], 'once');
    });
  });

  describe('when a key is written again before it is withdrawn', () => {
    it('does not withdraw it while its first write is in an append', async (t) => {
      // Fails if a later write that waits hides one under way: the record is stored and denied.
      const fixture = new Fixture();
      fixture.log.mode = 'never-answers';
      fixture.create('a', 'first');
      await nextTurn();
      fixture.write('a', 'second');
      t.notOk(fixture.writer.withdraw('a'));
    });

    it('does not withdraw it once its first write is durable', async (t) => {
      const fixture = new Fixture();
      fixture.create('a', 'first');
      await fixture.run();
      fixture.log.mode = 'rejects';
      fixture.write('a', 'second');
      await fixture.run();
      t.notOk(fixture.writer.withdraw('a'));
    });

    it('withdraws it while no write of it has left', async (t) => {
      const fixture = new Fixture();
      fixture.log.mode = 'rejects';
      fixture.create('a', 'first');
      await fixture.run();
      fixture.write('a', 'second');
      t.ok(fixture.writer.withdraw('a'));
      fixture.log.mode = 'answers';
      await fixture.run();
      t.same(fixture.keys, []);
    });

    it('keeps a deletion that it replaced', async (t) => {
      // Fails if the deletion of an earlier record of the key is lost: a new owner would load it again.
      const fixture = new Fixture();
      fixture.log.mode = 'rejects';
      void fixture.writer.write('a', () => undefined);
      await fixture.run();
      fixture.create('a', 'new');
      t.ok(fixture.writer.withdraw('a'));
      fixture.log.mode = 'answers';
      await fixture.run();
      t.same(fixture.log.records, [{ key: 'a', value: undefined }]);
    });
  });

  describe('when a key is withdrawn whose writes are waited for', () => {
    it('settles them as withdrawn, and the others as durable', async (t) => {
      // Fails if a promise for a record that was never written settles with the next append.
      const fixture = new Fixture();
      fixture.log.mode = 'rejects';
      fixture.create('a', 'first');
      fixture.write('a', 'second');
      fixture.write('b');
      await fixture.run();
      fixture.writer.withdraw('a');
      await fixture.run();
      t.same(fixture.outcomes, [
        ['a', 'withdrawn'],
        ['a', 'withdrawn'],
      ]);
      fixture.log.mode = 'answers';
      await fixture.run();
      t.same(fixture.outcomes.slice(2), [['b', 'durable']]);
    });

    it('settles the writes of the key that follow as durable', async (t) => {
      const fixture = new Fixture();
      fixture.log.mode = 'rejects';
      fixture.create('a', 'first');
      await fixture.run();
      fixture.writer.withdraw('a');
      fixture.create('a', 'second');
      fixture.log.mode = 'answers';
      await fixture.run();
      t.same(fixture.outcomes, [
        ['a', 'withdrawn'],
        ['a', 'durable'],
      ]);
    });

    it('settles them as withdrawn if the key is deleted instead', async (t) => {
      const fixture = new Fixture();
      fixture.log.mode = 'never-answers';
      fixture.create('a', 'first');
      await nextTurn();
      fixture.write('a', 'second');
      t.notOk(fixture.writer.withdraw('a'));
      void fixture.writer.delete('a');
      await nextTurn();
      t.same(fixture.outcomes, [
        ['a', 'withdrawn'],
        ['a', 'withdrawn'],
      ]);
    });
  });

  it('gives up the journal if a record cannot be encoded', async (t) => {
    // Fails if the exception stops the writer but not the ownership: the owner would accept jobs
    // that never become durable, and no other entry would take over.
    const fixture = new Fixture();
    let isLost = false;
    fixture.writer.onLost(() => {
      isLost = true;
    });
    const written = fixture.writer.write('bad', () => {
      throw new Error('not encodable');
    });
    await fixture.run();
    t.ok(isLost);
    t.equal(await written, 'ownership-lost');
  });
});
