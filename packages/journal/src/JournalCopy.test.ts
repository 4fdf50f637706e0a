/** Tests copies of the journal that are read before a claim, and the claims that use them. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { err, ok, type Result } from 'neverthrow';
import { JournalClaim, type OwnedJournal } from './JournalClaim.js';
import { JournalCopy } from './JournalCopy.js';
import {
  type KeyedRecord,
  type LogFailure,
  type LogSlice,
  type NewestRecords,
  RecordLog,
  type StoredRecord,
} from './RecordLog.js';

const value = (text: string): Buffer => Buffer.from(text);

class ListLog extends RecordLog {
  readonly stored: StoredRecord[] = [];

  /** Number of reads of all newest records. */
  loads = 0;

  /** Offset of the first record that has not expired. */
  firstOffset = 0;

  /** Called after the first record of a load was read, as loads are no snapshots. */
  duringLoad: () => void = () => undefined;

  put(...records: readonly (readonly [string, string | undefined])[]): void {
    records.forEach(([key, text]) => {
      const offset = this.stored.length;
      this.stored.push({ key, value: text === undefined ? undefined : value(text), offset });
    });
  }

  override append(at: number, records: readonly KeyedRecord[]): Promise<Result<void, LogFailure>> {
    const endOffset = this.stored.length;
    if (at !== endOffset) return Promise.resolve(err({ kind: 'offset-mismatch', endOffset }));
    records.forEach((record, index) => this.stored.push({ ...record, offset: endOffset + index }));
    return Promise.resolve(ok(undefined));
  }

  override readNewest(): Promise<Result<NewestRecords, LogFailure>> {
    this.loads += 1;
    const followFrom = this.stored.length;
    const [first] = this.newest();
    this.duringLoad();
    const rest = this.newest().filter(({ key }) => key !== first?.key);
    const records = first ? [first, ...rest] : rest;
    return Promise.resolve(ok({ records, endOffset: this.stored.length, followFrom }));
  }

  override readFrom(offset: number): Promise<Result<LogSlice, LogFailure>> {
    if (offset < this.firstOffset) return Promise.resolve(err({ kind: 'history-gone' }));
    const records = this.stored.slice(offset);
    return Promise.resolve(ok({ records, nextOffset: this.stored.length }));
  }

  private newest(): StoredRecord[] {
    const byKey = new Map(this.stored.map((record) => [record.key, record]));
    return [...byKey.values()].filter((record) => record.value);
  }
}

async function load(log: RecordLog): Promise<JournalCopy> {
  const loaded = await JournalCopy.load(log, new ManualClock(), new AbortController().signal);
  return loaded._unsafeUnwrap();
}

function claim(
  log: RecordLog,
  copy: JournalCopy,
  onClaimed: () => void = () => undefined,
): Promise<OwnedJournal | undefined> {
  return new JournalClaim(log, new ManualClock()).acquire({
    holder: { entryId: 'e0', bootMs: 1, nonce: '1' },
    copy,
    isWanted: () => true,
    signal: new AbortController().signal,
    onClaimed,
    onLoadTimeout: () => undefined,
  });
}

function textsOf(records: readonly StoredRecord[] = []): Record<string, string | undefined> {
  const entries = records.map((record) => [record.key, record.value?.toString()] as const);
  return Object.fromEntries(entries.filter(([key]) => key !== 'claim'));
}

describe('JournalCopy', () => {
  it('has the records that were appended while it was read', async (t) => {
    // Fails if the log is followed from where the read ended: the record read first is outdated.
    const log = new ListLog();
    log.put(['a', '1'], ['b', '1'], ['c', '1']);
    log.duringLoad = () => log.put(['a', '2'], ['b', undefined], ['d', '1']);
    const copy = await load(log);
    t.same(textsOf(copy.records), { a: '2', c: '1', d: '1' });
    t.equal(copy.nextOffset, 6);
  });

  it('follows writes and deletions', async (t) => {
    const log = new ListLog();
    log.put(['a', '1'], ['b', '1']);
    const copy = await load(log);
    log.put(['a', undefined], ['b', '2'], ['b', '3']);
    t.ok((await copy.follow()).isOk());
    t.same(textsOf(copy.records), { b: '3' });
  });

  it('fails if records are missing', async (t) => {
    const log = new ListLog();
    log.put(['a', '1']);
    const copy = await load(log);
    log.put(['a', '2'], ['a', '3']);
    log.stored.splice(1, 1);
    t.match((await copy.follow())._unsafeUnwrapErr(), { kind: 'history-gone' });
  });

  describe('used by a claim', () => {
    it('needs only the tail', async (t) => {
      const log = new ListLog();
      log.put(['a', '1'], ['b', '1']);
      const copy = await load(log);
      log.put(['a', '2'], ['b', undefined]);
      const owned = await claim(log, copy);
      t.match(owned, { epoch: 4, nextOffset: 5 });
      t.same(textsOf(owned?.records), { a: '2' });
      t.equal(log.loads, 1);
    });

    it('is replaced by a load of all if the tail has expired', async (t) => {
      const log = new ListLog();
      log.put(['a', '1']);
      const copy = await load(log);
      log.put(['a', '2'], ['a', '3']);
      log.firstOffset = 3;
      t.same(textsOf((await claim(log, copy))?.records), { a: '3' });
      t.equal(log.loads, 2);
    });

    it('gives way to a later claim', async (t) => {
      const log = new ListLog();
      const copy = await load(log);
      // The tail before the claim has to be read again, and then has the later claim as well.
      const append = log.append.bind(log);
      log.append = (at, records) => {
        if (at === 0) log.put(['a', '1']);
        return append(at, records);
      };
      const owned = await claim(log, copy, () => log.put(['claim', 'rival']));
      t.equal(owned, undefined);
    });
  });
});
