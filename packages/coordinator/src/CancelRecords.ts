/**
 * Cancels of jobs that the journal doesn't have. A submission that was sent before its cancel may arrive after it,
 * from an entry that stood still or a client that repeats it, so each such cancel is journaled before it is
 * confirmed. Kept for each scope, because a cancel of the same id by another team or on another queue has no
 * effect.
 */
import { type Clock } from '@acaciadock/core';
import { type CommitOutcome } from '@acaciadock/journal';
import { createHash } from 'node:crypto';
import * as z from 'zod';
import { type Ownership } from './Ownership.js';
import { type SubmissionScope } from './SubmissionScope.js';

/** Keys have the form `cancelled/job/team`, with a digest of the team, as the length of a key is limited. */
const CANCEL_PREFIX = 'cancelled/';

const DIGEST_CHARACTERS = 16;

/**
 * Records of one team. At 0.6 kB of memory each, no team takes more than 12 MB of the owner, nor makes its successor
 * load more.
 */
export const MAX_CANCELS_PER_TEAM = 20_000;

const cancelSchema = z.object({
  jobId: z.string(),
  teamId: z.string(),
  cancelledUnixMs: z.number(),
  /** Queues on which it was sent; a record of an earlier build has none and holds on all queues of the team. */
  queueIds: z.array(z.string()).readonly().optional(),
});

type CancelRecord = Readonly<z.infer<typeof cancelSchema>>;

interface StoredCancel {
  readonly record: CancelRecord;
  /** Settles once the newest record of the cancel is durable. */
  readonly commit: Promise<CommitOutcome>;
}

export class CancelRecords {
  private readonly cancels = new Map<string, StoredCancel>();

  /** Number of records by team. */
  private readonly counts = new Map<string, number>();

  constructor(
    private readonly ownership: Ownership,
    private readonly clock: Clock,
  ) {}

  has(jobId: string, { queueId, teamId }: SubmissionScope): boolean {
    if (this.cancels.size === 0) return false;
    const known = this.cancels.get(CancelRecords.keyOf(jobId, teamId));
    return known !== undefined && CancelRecords.holdsOn(queueId, known.record);
  }

  /** Whether no further cancel of the scope's team is to be recorded for now. */
  isFull({ teamId }: SubmissionScope): boolean {
    return (this.counts.get(teamId) ?? 0) >= MAX_CANCELS_PER_TEAM;
  }

  /** Journals the cancel, once if it is repeated; settles once it is durable. */
  add(jobId: string, { queueId, teamId }: SubmissionScope): Promise<CommitOutcome> {
    const key = CancelRecords.keyOf(jobId, teamId);
    const known = this.cancels.get(key);
    if (known && CancelRecords.holdsOn(queueId, known.record)) return known.commit;
    const queueIds = [...(known?.record.queueIds ?? []), queueId];
    const record = { jobId, teamId, cancelledUnixMs: this.clock.unixMs(), queueIds };
    const commit = this.ownership.writer.write(key, () => Buffer.from(JSON.stringify(record)));
    this.keep(key, { record, commit });
    return commit;
  }

  /** Restores a journaled cancel; returns false if the key is another one. */
  restore(key: string, value: Buffer): boolean {
    if (!key.startsWith(CANCEL_PREFIX)) return false;
    const record = CancelRecords.parse(value);
    if (!record) return true;
    this.keep(key, { record, commit: Promise.resolve('durable') });
    return true;
  }

  /** Drops cancels that are so old that no submission of theirs is under way any more. */
  dropOld(keepMs: number): void {
    const nowMs = this.clock.unixMs();
    this.cancels.forEach(({ record }, key) => {
      if (nowMs - record.cancelledUnixMs < keepMs) return;
      this.cancels.delete(key);
      this.addToCount(record.teamId, -1);
      void this.ownership.writer.delete(key);
    });
  }

  private keep(key: string, cancel: StoredCancel): void {
    if (!this.cancels.has(key)) this.addToCount(cancel.record.teamId, 1);
    this.cancels.set(key, cancel);
  }

  private addToCount(teamId: string, change: number): void {
    const count = (this.counts.get(teamId) ?? 0) + change;
    if (count > 0) this.counts.set(teamId, count);
    else this.counts.delete(teamId);
  }

  private static holdsOn(queueId: string, { queueIds }: CancelRecord): boolean {
    return queueIds === undefined || queueIds.includes(queueId);
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
