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

  /**
   * Claims and loads; undefined once `isWanted` turns false, or if another claim came in between:
   * claiming again at once would only keep that claimant from loading. `onClaimed` is told the epoch
   * before the loading, which may take seconds over a thin link.
   */
  async take(
    holder: ClaimHolder,
    isWanted: () => boolean,
    onClaimed: (epoch: number) => void,
  ): Promise<OwnedJournal | undefined> {
    const value = Buffer.from(JSON.stringify(holder));
    // A wrong guess costs little: the refusal tells where the log ends.
    let expectedOffset = 0;
    while (isWanted()) {
      const endOffset = await this.appendClaim(expectedOffset, value, isWanted);
      if (endOffset === undefined) {
        onClaimed(expectedOffset);
        return this.load(expectedOffset, isWanted);
      }
      expectedOffset = endOffset;
    }
    return undefined;
  }

  /** Undefined if the claim stands at `epoch`, else the offset to try next. */
  private async appendClaim(
    epoch: number,
    value: Buffer,
    isWanted: () => boolean,
  ): Promise<number | undefined> {
    while (isWanted()) {
      const done = await this.log.append(epoch, [{ key: CLAIM_KEY, value }]);
      if (done.isOk()) return undefined;
      if (done.error.kind === 'offset-mismatch') {
        const { endOffset } = done.error;
        const isOurs = endOffset === epoch + 1 && (await this.isOurs(epoch, value));
        return isOurs ? undefined : endOffset;
      }
      await this.clock.sleep(RETRY_MS);
    }
    return epoch;
  }

  /** Whether an append without an answer has been carried out after all. */
  private async isOurs(epoch: number, value: Buffer): Promise<boolean> {
    const slice = await this.log.readFrom(epoch, 0);
    if (slice.isErr()) return false;
    const [claim] = slice.value.records;
    return claim?.key === CLAIM_KEY && claim.value?.equals(value) === true;
  }

  private async load(epoch: number, isWanted: () => boolean): Promise<OwnedJournal | undefined> {
    while (isWanted()) {
      const newest = await this.log.readNewest();
      if (newest.isErr()) {
        await this.pauseAfter(newest.error);
        continue;
      }
      const { records, endOffset } = newest.value;
      // Another claim came in between.
      if (endOffset !== epoch + 1) return undefined;
      return { epoch, nextOffset: endOffset, records };
    }
    return undefined;
  }

  private pauseAfter(failure: LogFailure): Promise<void> {
    return this.clock.sleep(failure.kind === 'history-gone' ? 0 : RETRY_MS);
  }
}
