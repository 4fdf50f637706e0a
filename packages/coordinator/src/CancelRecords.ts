/**
 * Cancels of jobs that the journal doesn't have. A submission that was sent before its cancel may arrive after it,
 * from an entry that stood still or a client that repeats it, so each such cancel is journaled before it is
 * confirmed. Kept for each team, because another team's cancel of the same id has no effect.
 */
import { type Clock } from '@acaciadock/core';
import { type CommitOutcome } from '@acaciadock/journal';
import { createHash } from 'node:crypto';
import * as z from 'zod';
import { type Ownership } from './Ownership.js';

/** Keys have the form `cancelled/job/team`, with a digest of the team, as the length of a key is limited. */
const CANCEL_PREFIX = 'cancelled/';

const DIGEST_CHARACTERS = 16;

const cancelSchema = z.object({
  jobId: z.string(),
  teamId: z.string(),
  cancelledUnixMs: z.number(),
});

type CancelRecord = Readonly<z.infer<typeof cancelSchema>>;

interface StoredCancel {
  readonly cancelledUnixMs: number;
  /** Settles once the cancel is durable. */
  readonly commit: Promise<CommitOutcome>;
}

export class CancelRecords {
  private readonly cancels = new Map<string, StoredCancel>();

  constructor(
    private readonly ownership: Ownership,
    private readonly clock: Clock,
  ) {}

  has(jobId: string, teamId: string): boolean {
    if (this.cancels.size === 0) return false;
    return this.cancels.has(CancelRecords.keyOf(jobId, teamId));
  }

  /** Journals the cancel, once if it is repeated; settles once it is durable. */
  add(jobId: string, teamId: string): Promise<CommitOutcome> {
    const key = CancelRecords.keyOf(jobId, teamId);
    const known = this.cancels.get(key);
    if (known) return known.commit;
    const record: CancelRecord = { jobId, teamId, cancelledUnixMs: this.clock.unixMs() };
    const commit = this.ownership.writer.write(key, () => Buffer.from(JSON.stringify(record)));
    this.cancels.set(key, { cancelledUnixMs: record.cancelledUnixMs, commit });
    return commit;
  }

  /** Restores a journaled cancel; returns false if the key is another one. */
  restore(key: string, value: Buffer): boolean {
    if (!key.startsWith(CANCEL_PREFIX)) return false;
    const record = CancelRecords.parse(value);
    if (!record) return true;
    const { cancelledUnixMs } = record;
    this.cancels.set(key, { cancelledUnixMs, commit: Promise.resolve('durable') });
    return true;
  }

  /** Drops cancels that are so old that no submission of theirs is under way any more. */
  dropOld(keepMs: number): void {
    const nowMs = this.clock.unixMs();
    this.cancels.forEach(({ cancelledUnixMs }, key) => {
      if (nowMs - cancelledUnixMs < keepMs) return;
      this.cancels.delete(key);
      void this.ownership.writer.delete(key);
    });
  }

  private static keyOf(jobId: string, teamId: string): string {
    const digest = createHash('sha256').update(teamId).digest('hex');
    return `${CANCEL_PREFIX}${jobId}/${digest.slice(0, DIGEST_CHARACTERS)}`;
  }

  /** Undefined if the record is malformed; a later build may be able to read it. */
  private static parse(value: Buffer): CancelRecord | undefined {
    try {
      return cancelSchema.parse(JSON.parse(value.toString('utf8')));
    } catch {
      return undefined;
    }
  }
}
