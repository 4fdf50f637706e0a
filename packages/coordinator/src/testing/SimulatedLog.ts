/** The record log of the simulated store, as one entry reaches it. */
import {
  type KeyedRecord,
  type LogFailure,
  type LogSlice,
  type NewestRecords,
  RecordLog,
} from '@acaciadock/journal';
import { ok, type Result } from 'neverthrow';
import { type PausableClock } from './PausableClock.js';
import { type SimulatedStore, type StoreFaults } from './SimulatedStore.js';

export class SimulatedLog extends RecordLog {
  constructor(
    private readonly store: SimulatedStore,
    private readonly clock: PausableClock,
    private readonly faults: StoreFaults,
  ) {
    super();
  }

  override append(at: number, records: readonly KeyedRecord[]): Promise<Result<void, LogFailure>> {
    return this.store.call(this.clock, this.faults, () => this.store.append(at, records));
  }

  override readNewest(): Promise<Result<NewestRecords, LogFailure>> {
    return this.store.call(this.clock, this.faults, () => ok(this.store.newest()));
  }

  override readFrom(offset: number): Promise<Result<LogSlice, LogFailure>> {
    return this.store.call(this.clock, this.faults, () => {
      const records = this.store.records.slice(offset);
      return ok({ records, nextOffset: offset + records.length });
    });
  }
}
