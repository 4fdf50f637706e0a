/**
 * Takes ownership of the journal by one conditional append. The claim's offset is the epoch: it
 * is unique, it rises, and every append of an earlier owner fails from then on, because appends
 * name the offset that they expect.
 */
import { type Clock } from '@acaciadock/core';
import { type LogFailure, type RecordLog, type StoredRecord } from './RecordLog.js';

export const CLAIM_KEY = 'claim';

/** Between two tries while the store refuses. */
const RETRY_MS = 60;

export interface OwnedJournal {
  /** Fencing token of this ownership: the offset of the claim. */
  readonly epoch: number;
  readonly nextOffset: number;
  /** The newest record of each key, as of the claim. */
  readonly records: readonly StoredRecord[];
}

export interface ClaimHolder {
  readonly entryId: string;
  readonly bootMs: number;
  /** Tells two claims of one process apart. */
  readonly nonce: string;
}

export class JournalClaim {
  constructor(
    private readonly log: RecordLog,
    private readonly clock: Clock,
  ) {}

  /** Claims and loads; undefined once `isWanted` turns false. */
  async take(holder: ClaimHolder, isWanted: () => boolean): Promise<OwnedJournal | undefined> {
    const value = Buffer.from(JSON.stringify(holder));
    while (isWanted()) {
      const before = await this.log.readNewest();
      if (before.isErr()) {
        await this.clock.sleep(RETRY_MS);
        continue;
      }
      const epoch = before.value.endOffset;
      if (!(await this.appendClaim(epoch, value, isWanted))) continue;
      const loaded = await this.load(epoch, isWanted);
      if (loaded) return loaded;
    }
    return undefined;
  }

  /** Settles the append for certain: true only if the record at `epoch` is this claim. */
  private async appendClaim(
    epoch: number,
    value: Buffer,
    isWanted: () => boolean,
  ): Promise<boolean> {
    while (isWanted()) {
      const done = await this.log.append(epoch, [{ key: CLAIM_KEY, value }]);
      if (done.isOk()) return true;
      if (done.error.kind === 'offset-mismatch') return this.isOurs(epoch, value);
      await this.clock.sleep(RETRY_MS);
    }
    return false;
  }

  private async isOurs(epoch: number, value: Buffer): Promise<boolean> {
    const newest = await this.log.readNewest();
    if (newest.isErr()) return false;
    const claim = newest.value.records.find((record) => record.key === CLAIM_KEY);
    return claim?.offset === epoch && claim.value?.equals(value) === true;
  }

  private async load(epoch: number, isWanted: () => boolean): Promise<OwnedJournal | undefined> {
    while (isWanted()) {
      const newest = await this.log.readNewest();
      if (newest.isErr()) {
        await this.pauseAfter(newest.error);
        continue;
      }
      const { records, endOffset } = newest.value;
      // Another claim came in between: start again.
      if (endOffset !== epoch + 1) return undefined;
      return { epoch, nextOffset: endOffset, records };
    }
    return undefined;
  }

  private pauseAfter(failure: LogFailure): Promise<void> {
    return this.clock.sleep(failure.kind === 'history-gone' ? 0 : RETRY_MS);
  }
}
