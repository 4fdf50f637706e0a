/**
 * Acquires ownership of the journal with a single conditional append. The offset of the claim is
 * the epoch: it is unique and rising. Every append names the offset that it expects, so all appends
 * of earlier owners fail once the claim is in the log.
 */
import { type Clock } from '@acaciadock/core';
import { CallRepeater } from './CallRepeater.js';
import { FittingRecord } from './FittingRecord.js';
import { type JournalCopy } from './JournalCopy.js';
import { type LogFailure, type RecordLog, type StoredRecord } from './RecordLog.js';

export const CLAIM_KEY = 'claim';

/** Delay between two attempts while the store fails, in milliseconds. */
const RETRY_DELAY_MS = 60;

export interface OwnedJournal {
  /** Fencing token of this ownership: the offset of the claim. */
  readonly epoch: number;
  /** Offset of the next append. */
  readonly nextOffset: number;
  /** The newest record of each key, as of the claim. */
  readonly records: readonly StoredRecord[];
}

/** Identifies the claimant; stored as the value of the claim record. */
export interface ClaimHolder {
  readonly entryId: string;
  /** Start of the claimant's process, Unix milliseconds. */
  readonly bootMs: number;
  /** Distinguishes the claims of one process. */
  readonly nonce: string;
}

/** What a claimant asks for, and how it follows the claim. */
export interface ClaimRequest {
  readonly holder: ClaimHolder;
  /** Where the log is thought to end; a rejection contains its true end offset. */
  readonly firstOffset?: number | undefined;
  /** What was read of the journal before. */
  readonly copy?: JournalCopy | undefined;
  /** Whether the claim is still wanted. */
  readonly isWanted: () => boolean;
  /** Aborted once the load is of no use any more. */
  readonly signal: AbortSignal;
  /** Receives the epoch before the load, which may take seconds on a slow link. */
  readonly onClaimed: (epoch: number) => void;
  /** Called each time that an answer to the load has not come in time; the load is then repeated. */
  readonly onLoadTimeout: () => void;
}

export class JournalClaim {
  private readonly repeater: CallRepeater;

  constructor(
    private readonly log: RecordLog,
    private readonly clock: Clock,
  ) {
    this.repeater = new CallRepeater(clock);
  }

  /**
   * Claims the journal and loads it. Returns undefined once the claim is not wanted any more, or if
   * another claim was appended meanwhile: claiming again at once would only keep the other claimant
   * from loading.
   */
  async acquire(request: ClaimRequest): Promise<OwnedJournal | undefined> {
    const { holder, isWanted, firstOffset = 0 } = request;
    const claim = FittingRecord.of(CLAIM_KEY, Buffer.from(JSON.stringify(holder)));
    if (claim.isErr()) return undefined;
    let expectedOffset = firstOffset;
    // What the last owner wrote is in the log already, so it is read while the claim is appended.
    const isFollowed = request.copy?.follow();
    while (isWanted()) {
      const endOffset = await this.appendClaim(expectedOffset, claim.value, isWanted);
      if (endOffset === undefined) {
        request.onClaimed(expectedOffset);
        await isFollowed;
        return this.load(expectedOffset, request);
      }
      expectedOffset = endOffset;
    }
    return undefined;
  }

  /**
   * Returns undefined if the claim is in the log at `epoch`, else the offset to try next. Returns
   * `epoch` once the claim is no longer wanted.
   */
  private async appendClaim(
    epoch: number,
    claim: FittingRecord,
    isWanted: () => boolean,
  ): Promise<number | undefined> {
    while (isWanted()) {
      const done = await this.repeater.call((signal) => this.log.append(epoch, [claim], signal));
      if (done.isOk()) return undefined;
      if (done.error.kind === 'offset-mismatch') {
        const { endOffset } = done.error;
        const isOwnClaim = endOffset === epoch + 1 && (await this.isOwnClaim(epoch, claim));
        return isOwnClaim ? undefined : endOffset;
      }
      await this.clock.sleep(RETRY_DELAY_MS);
    }
    return epoch;
  }

  /** Whether the record at `epoch` is this claim: an append without an answer was carried out. */
  private async isOwnClaim(epoch: number, { value }: FittingRecord): Promise<boolean> {
    const slice = await this.repeater.call((signal) => this.log.readFrom(epoch, 0, signal));
    if (slice.isErr()) return false;
    const [claim] = slice.value.records;
    return value !== undefined && claim?.key === CLAIM_KEY && claim.value?.equals(value) === true;
  }

  private async load(epoch: number, request: ClaimRequest): Promise<OwnedJournal | undefined> {
    const { copy } = request;
    const isWanted = (): boolean => request.isWanted() && !request.signal.aborted;
    if (!copy || !(await copy.followTo(epoch, isWanted))) return this.loadAll(epoch, request);
    const nextOffset = epoch + 1;
    // Another claim was appended meanwhile.
    if (copy.nextOffset > nextOffset) return undefined;
    return { epoch, nextOffset, records: copy.records };
  }

  private async loadAll(
    epoch: number,
    { isWanted, signal, onLoadTimeout }: ClaimRequest,
  ): Promise<OwnedJournal | undefined> {
    while (isWanted() && !signal.aborted) {
      const newest = await this.log.readNewest(signal);
      if (newest.isErr()) {
        if (newest.error.kind === 'unknown-outcome' && !signal.aborted) onLoadTimeout();
        await this.backOffAfter(newest.error);
        continue;
      }
      const { records, endOffset } = newest.value;
      // Another claim was appended meanwhile.
      if (endOffset !== epoch + 1) return undefined;
      return { epoch, nextOffset: endOffset, records };
    }
    return undefined;
  }

  private backOffAfter(failure: LogFailure): Promise<void> {
    return this.clock.sleep(failure.kind === 'history-gone' ? 0 : RETRY_DELAY_MS);
  }
}
