/** The record log of the simulated store, as one entry reaches it. */
import {
  type KeyedRecord,
  type LogFailure,
  type LogSlice,
  type NewestRecords,
  RecordLog,
} from '@acaciadock/journal';
import { err, ok, type Result } from 'neverthrow';
import { type PausableClock } from './PausableClock.js';
import { CALL_TIMEOUT_MS, type SimulatedStore, type StoreFaults } from './SimulatedStore.js';

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

  override async readNewest(signal?: AbortSignal): Promise<Result<NewestRecords, LogFailure>> {
    const { loadMs = 0, stallsLoads = false } = this.faults;
    const durationMs = stallsLoads ? CALL_TIMEOUT_MS : loadMs;
    const isAborted = durationMs > 0 && !(await this.transfer(durationMs, signal));
    if (isAborted || stallsLoads) return err({ kind: 'unknown-outcome', detail: 'no answer' });
    return this.store.call(this.clock, this.faults, () => ok(this.store.newest()));
  }

  override readFrom(offset: number): Promise<Result<LogSlice, LogFailure>> {
    return this.store.call(this.clock, this.faults, () => {
      const records = this.store.records.slice(offset);
      return ok({ records, nextOffset: offset + records.length });
    });
  }

  /** Waits for a transfer to end; false if it was aborted. */
  private transfer(durationMs: number, signal?: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      this.clock.after(durationMs, () => resolve(true));
      signal?.addEventListener('abort', () => resolve(false));
    });
  }
}
