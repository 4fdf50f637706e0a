/** Tests claims that compete with other claims. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { err, ok, type Result } from 'neverthrow';
import { type ClaimRequest, JournalClaim } from './JournalClaim.js';
import {
  type KeyedRecord,
  type LogFailure,
  type LogSlice,
  type NewestRecords,
  RecordLog,
} from './RecordLog.js';

const REQUEST: ClaimRequest = {
  holder: { entryId: 'e0', bootMs: 1, nonce: '1' },
  isWanted: () => true,
  signal: new AbortController().signal,
  onClaimed: () => undefined,
  onLoadTimeout: () => undefined,
};

/** A log to which a rival claim may be appended just before the first load. */
class ContestedLog extends RecordLog {
  readonly records: KeyedRecord[] = [];

  constructor(private hasRival: boolean) {
    super();
  }

  override append(at: number, records: readonly KeyedRecord[]): Promise<Result<void, LogFailure>> {
    if (at !== this.records.length) {
      const failure = { kind: 'offset-mismatch' as const, endOffset: this.records.length };
      return Promise.resolve(err(failure));
    }
    this.records.push(...records);
    return Promise.resolve(ok(undefined));
  }

  override readNewest(): Promise<Result<NewestRecords, LogFailure>> {
    if (this.hasRival) this.records.push({ key: 'claim', value: Buffer.from('rival') });
    this.hasRival = false;
    const endOffset = this.records.length;
    return Promise.resolve(ok({ records: [], endOffset, followFrom: endOffset }));
  }

  override readFrom(offset: number): Promise<Result<LogSlice, LogFailure>> {
    const records = this.records
      .slice(offset)
      .map((record, index) => ({ ...record, offset: offset + index }));
    return Promise.resolve(ok({ records, nextOffset: this.records.length }));
  }
}

describe('JournalClaim', () => {
  it('reports the epoch before it loads', async (t) => {
    const log = new ContestedLog(false);
    const epochs: number[] = [];
    const owned = await new JournalClaim(log, new ManualClock()).acquire({
      ...REQUEST,
      onClaimed: (epoch) => epochs.push(epoch),
    });
    t.equal(owned?.epoch, 0);
    t.same(epochs, [0]);
  });

  it('gives way to a claim that was appended while it loaded', async (t) => {
    // If it claimed again instead, two claimants that load slowly would never finish.
    const log = new ContestedLog(true);
    const owned = await new JournalClaim(log, new ManualClock()).acquire({
      ...REQUEST,
      onClaimed: () => undefined,
    });
    t.equal(owned, undefined);
    t.equal(log.records.length, 2, 'one claim each');
  });
});
