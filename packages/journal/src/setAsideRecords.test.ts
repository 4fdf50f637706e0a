/**
 * Tests what becomes of a record that the log does not take, and of all others meanwhile. Guards against an append
 * that is repeated for good, with everything else behind it (review/11).
 */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { err, ok, type Result } from 'neverthrow';
import { type CommitOutcome } from './Commit.js';
import { MAX_RECORD_BYTES } from './FittingRecord.js';
import { JournalWriter, type SetAsideNotice } from './JournalWriter.js';
import { ENCODE_LATER } from './RecordEncoder.js';
import { type KeyedRecord, type LogFailure, type LogSlice, RecordLog } from './RecordLog.js';

const STEP_MS = 10;

/** Refuses each append with a record of a forbidden key, as a whole. */
class ChoosyLog extends RecordLog {
  readonly records: KeyedRecord[] = [];

  readonly forbidden = new Set<string>();

  appends = 0;

  largestAppend = 0;

  override append(_at: number, records: readonly KeyedRecord[]): Promise<Result<void, LogFailure>> {
    this.appends += 1;
    const bytes = records.reduce(
      (sum, { key, value }) => sum + key.length + (value?.length ?? 0),
      0,
    );
    this.largestAppend = Math.max(this.largestAppend, bytes);
    if (records.some(({ key }) => this.forbidden.has(key)))
      return Promise.resolve(err({ kind: 'invalid', detail: 'status 400' }));
    this.records.push(...records.map(({ key, value }) => ({ key, value })));
    return Promise.resolve(ok(undefined));
  }

  override readNewest(): Promise<never> {
    throw new Error('not used by the writer');
  }

  override readFrom(): Promise<Result<LogSlice, LogFailure>> {
    return Promise.resolve(ok({ records: [], nextOffset: this.records.length }));
  }

  get keys(): string[] {
    return this.records.map(({ key }) => key);
  }
}

class Fixture {
  readonly clock = new ManualClock();

  readonly log = new ChoosyLog();

  readonly writer = new JournalWriter(
    this.log,
    { epoch: 0, nextOffset: 0, records: [] },
    this.clock,
  );

  readonly outcomes = new Map<string, CommitOutcome>();

  readonly notices: SetAsideNotice[] = [];

  constructor() {
    this.writer.onSetAside((notice) => this.notices.push(notice));
  }

  write(key: string, bytes = 10): void {
    const written = this.writer.write(key, () => Buffer.alloc(bytes, 'x'));
    void written.then((outcome) => this.outcomes.set(key, outcome));
  }

  async run(durationMs = 300): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
}

describe('a record that is too large for the log', () => {
  it('is never sent, and all others are written', async (t) => {
    const fixture = new Fixture();
    ['a', 'large', 'b'].forEach((key) => fixture.write(key, key === 'large' ? 300_000 : 10));
    await fixture.run();
    fixture.write('c');
    await fixture.run();
    t.same(fixture.log.keys, ['a', 'b', 'c']);
    t.same([...fixture.outcomes.keys()], ['a', 'b', 'c'], 'the large one is not confirmed');
    t.match(fixture.notices[0], { key: 'large', detail: 'record too large' });
  });

  it('is written, and confirmed, once it fits', async (t) => {
    const fixture = new Fixture();
    fixture.write('a', 300_000);
    await fixture.run();
    fixture.write('a', 20);
    await fixture.run();
    t.same(fixture.log.keys, ['a']);
    t.equal(fixture.outcomes.get('a'), 'durable');
  });

  it('settles as lost with the ownership, and as withdrawn if its key is deleted', async (t) => {
    const fixture = new Fixture();
    fixture.write('a', 300_000);
    fixture.write('b', 300_000);
    await fixture.run();
    void fixture.writer.delete('a');
    await fixture.run();
    t.equal(fixture.outcomes.get('a'), 'withdrawn');
    t.same(fixture.log.records, [{ key: 'a', value: undefined }]);
    fixture.writer.dispose();
    await fixture.run();
    t.equal(fixture.outcomes.get('b'), 'ownership-lost');
  });

  it('can have a key and a value up to the limit, and an append of many stays below that of a call', async (t) => {
    const fixture = new Fixture();
    for (let index = 0; index < 20; index += 1)
      fixture.write(`k${index + 10}`, MAX_RECORD_BYTES - 4);
    fixture.write('k', MAX_RECORD_BYTES - 2);
    await fixture.run();
    t.equal(fixture.log.records.length, 21);
    t.ok(fixture.log.largestAppend < 2_000_000);
  });

  it('does not hold up the last record of an owner that closes', async (t) => {
    const fixture = new Fixture();
    fixture.write('a', 300_000);
    const closed = fixture.writer.close('claim', () => Buffer.from('c'));
    await fixture.run();
    t.equal(await closed, 'durable');
    t.same(fixture.log.keys, ['claim']);
  });
});

describe('a record that the log refuses', () => {
  it('is found among the others, which are all written and confirmed', async (t) => {
    const fixture = new Fixture();
    fixture.log.forbidden.add('k37');
    const keys = Array.from({ length: 100 }, (_, index) => `k${index}`);
    keys.forEach((key) => fixture.write(key));
    await fixture.run(500);
    t.same(new Set(fixture.log.keys), new Set(keys.filter((key) => key !== 'k37')));
    t.equal(fixture.outcomes.size, 99);
    t.notOk(fixture.outcomes.has('k37'));
    t.ok(fixture.log.appends < 40, `${fixture.log.appends} appends`);
  });

  it('is tried again by itself, and does not disturb appends that follow', async (t) => {
    const fixture = new Fixture();
    fixture.log.forbidden.add('a');
    fixture.write('a');
    await fixture.run();
    const before = fixture.log.appends;
    fixture.write('a');
    fixture.write('b');
    await fixture.run(200);
    t.same(fixture.log.keys, ['b']);
    t.equal(fixture.log.appends, before + 1, 'one append');
    fixture.log.forbidden.clear();
    await fixture.run(1_500);
    t.same(fixture.log.keys, ['b', 'a']);
    t.equal(fixture.outcomes.get('a'), 'durable');
  });

  it('costs nothing for good if the log refuses everything for a while', async (t) => {
    const fixture = new Fixture();
    const keys = Array.from({ length: 6 }, (_, index) => `k${index}`);
    keys.forEach((key) => fixture.log.forbidden.add(key));
    keys.forEach((key) => fixture.write(key));
    await fixture.run(2_000);
    t.equal(fixture.log.records.length, 0);
    fixture.log.forbidden.clear();
    await fixture.run(8_000);
    t.same(new Set(fixture.log.keys), new Set(keys));
    t.equal(fixture.outcomes.size, 6);
  });
});

describe('a record that refers to others', () => {
  it('follows them, also if they take more than one append', async (t) => {
    // Fails if a crash between two appends leaves a reference to a record that is not there.
    const fixture = new Fixture();
    let hasWritten = false;
    void fixture.writer.write('head', () => {
      if (hasWritten) return Buffer.from('h');
      hasWritten = true;
      for (let index = 0; index < 10; index += 1) fixture.write(`part${index}`, 200_000);
      return ENCODE_LATER;
    });
    fixture.write('other');
    await fixture.run();
    t.equal(fixture.log.keys.at(-1), 'head');
    t.equal(fixture.log.records.length, 12);
  });

  it('is written with them before the last record of an owner that closes', async (t) => {
    const fixture = new Fixture();
    let hasWritten = false;
    void fixture.writer.write('head', () => {
      if (hasWritten) return Buffer.from('h');
      hasWritten = true;
      fixture.write('part');
      return ENCODE_LATER;
    });
    void fixture.writer.close('claim', () => Buffer.from('c'));
    await fixture.run();
    t.same(fixture.log.keys, ['part', 'head', 'claim']);
  });
});
