/**
 * The holders of idempotency keys, computed by applying the records of the claims stream in the
 * order of their offsets, so that every entry determines the same holder of a key. Holders are
 * forgotten, oldest first, when their records are past the retention of the log.
 */
import { type EntryId } from '@acaciadock/core';
import { type LogRecord } from '@acaciadock/platform';
import { type Claim, type ClaimRelease, claimRecordSchema } from './ClaimRecord.js';

export interface ClaimHolder {
  readonly claimId: string;
  readonly entryId: EntryId;
  readonly fingerprint: string;
}

/** The result of applying one claim. */
export interface ClaimVerdict {
  readonly claim: Claim;
  readonly entryId: EntryId;
  /** The holder of the key: the claim itself if it was first; undefined if it was released. */
  readonly holder: ClaimHolder | undefined;
}

interface RememberedClaim {
  readonly appendedAtMs: number;
  readonly keyHash: string;
  readonly claimId: string;
}

export class ClaimTable {
  private readonly holders = new Map<string, ClaimHolder>();

  /** Ids of released claims: a late copy of one must not acquire its key again. */
  private readonly released = new Set<string>();

  /** The claims that became holders, oldest first. */
  private remembered: RememberedClaim[] = [];

  /** Number of claims at the start of `remembered` that are forgotten already. */
  private forgottenCount = 0;

  private next = 0;

  private malformed = 0;

  /** Offset of the next record to read. */
  get nextOffset(): number {
    return this.next;
  }

  /** Number of records that were skipped because they do not match the schema. */
  get malformedRecords(): number {
    return this.malformed;
  }

  /** Number of keys that have a holder. */
  get size(): number {
    return this.holders.size;
  }

  holderOf(keyHash: string): ClaimHolder | undefined {
    return this.holders.get(keyHash);
  }

  /** Continues at `offset`, because the log no longer has the records before it. */
  skipTo(offset: number): void {
    this.next = Math.max(this.next, offset);
  }

  /** Applies a record; any other offset than the next one is ignored. */
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
    return claims.map((claim) => this.applyClaim(claim, entryId, record.appendedAtMs));
  }

  /** Forgets claims that were appended before `beforeMs`, in Unix milliseconds. */
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

  private applyClaim(claim: Claim, entryId: EntryId, appendedAtMs: number): ClaimVerdict {
    const { claimId, keyHash, fingerprint } = claim;
    if (!this.holders.has(keyHash) && !this.released.has(claimId)) {
      this.holders.set(keyHash, { claimId, entryId, fingerprint });
      this.remembered.push({ appendedAtMs, keyHash, claimId });
    }
    return { claim, entryId, holder: this.holders.get(keyHash) };
  }
}
