/**
 * A key that the journal does not have yet and that can still be taken back. The outcome of each write of it
 * belongs to the key and not only to the append that it waits for: once the key is taken back, that append
 * proves nothing about it.
 */
import { type CommitOutcome, createCommit } from './Commit.js';
import { type RecordEncoder } from './RecordEncoder.js';

export class CreatedKey {
  private readonly withdrawal = createCommit();

  /** `replaced` is the deletion of an earlier record of the key that still waited for an append. */
  constructor(readonly replaced: RecordEncoder | undefined) {}

  /** The outcome of a write of the key, given that of the append that it waits for. */
  outcomeOf(append: Promise<CommitOutcome>): Promise<CommitOutcome> {
    return Promise.race([this.withdrawal.promise, append]);
  }

  /** Settles all writes of the key that are not durable yet. */
  withdraw(): void {
    this.withdrawal.settle('withdrawn');
  }
}
