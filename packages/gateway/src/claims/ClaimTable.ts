/**
 * The claims that the stream holds, reduced in the order of their offsets: every entry that reads
 * the stream comes to the same holder of a key. Holders are forgotten when the log has forgotten
 * them, oldest first.
 */
import { type EntryId } from '@acaciadock/core';
import { type LogRecord } from '@acaciadock/platform';
import { type Claim, type ClaimRelease, claimRecordSchema } from './ClaimRecord.js';

export interface ClaimHolder {
  readonly claimId: string;
  readonly entryId: EntryId;
  readonly fingerprint: string;
}

/** What the stream says of one claim that was just read. */
export interface ClaimVerdict {
  readonly claim: Claim;
  readonly entryId: EntryId;
  /** The holder of the key: the claim itself if it was the first; undefined if it was released. */
  readonly holder: ClaimHolder | undefined;
}

interface Remembered {
  readonly appendedAtMs: number;
  readonly keyHash: string;
  readonly claimId: string;
}

export class ClaimTable {
  private readonly holders = new Map<string, ClaimHolder>();

  /** Released claims: a late copy of one must not take its key again. */
  private readonly released = new Set<string>();

  private remembered: Remembered[] = [];

  private forgottenCount = 0;

  private next = 0;

  private malformed = 0;

  /** Offset of the record to be read next. */
  get nextOffset(): number {
    return this.next;
  }

  /** Records that did not fit the schema and were passed over. */
  get malformedRecords(): number {
    return this.malformed;
  }

  /** Keys that have a holder. */
  get size(): number {
    return this.holders.size;
  }

  holderOf(keyHash: string): ClaimHolder | undefined {
    return this.holders.get(keyHash);
  }

  /** Goes on at `offset`, because the log has forgotten what lies before. */
  skipTo(offset: number): void {
    this.next = Math.max(this.next, offset);
  }

  /** Reduces a record; one that was read before or lies ahead of the next changes nothing. */
  apply(record: LogRecord): readonly ClaimVerdict[] {
    if (record.offset !== this.next) return [];
    this.next += 1;
    const batch = claimRecordSchema.safeParse(record.payload);
    if (!batch.success) {
      this.malformed += 1;
      return [];
    }
    const { releases, claims, entryId } = batch.data;
    releases.forEach((release) => this.release(release));
    return claims.map((claim) => this.take(claim, entryId, record.appendedAtMs));
  }

  /** Forgets what was appended before `beforeMs`, milliseconds since the Unix epoch. */
  forget(beforeMs: number): void {
    let index = this.forgottenCount;
    for (; index < this.remembered.length; index += 1) {
      const old = this.remembered[index];
      if (!old || old.appendedAtMs >= beforeMs) break;
      if (this.holders.get(old.keyHash)?.claimId === old.claimId) this.holders.delete(old.keyHash);
      this.released.delete(old.claimId);
    }
    this.forgottenCount = index;
    if (this.forgottenCount * 2 < this.remembered.length) return;
    this.remembered = this.remembered.slice(this.forgottenCount);
    this.forgottenCount = 0;
  }

  private release({ claimId, keyHash }: ClaimRelease): void {
    if (this.holders.get(keyHash)?.claimId !== claimId) return;
    this.holders.delete(keyHash);
    this.released.add(claimId);
  }

  private take(claim: Claim, entryId: EntryId, appendedAtMs: number): ClaimVerdict {
    const { claimId, keyHash, fingerprint } = claim;
    if (!this.holders.has(keyHash) && !this.released.has(claimId)) {
      this.holders.set(keyHash, { claimId, entryId, fingerprint });
      this.remembered.push({ appendedAtMs, keyHash, claimId });
    }
    return { claim, entryId, holder: this.holders.get(keyHash) };
  }
}
