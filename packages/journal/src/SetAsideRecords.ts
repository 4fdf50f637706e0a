/**
 * Records that the log does not take: too large ones, and those whose append it refuses as invalid. They are kept
 * apart, so that no other record waits for them, and are tried again one at a time. Their writes settle once a
 * later form of the record is in the log.
 */
import { type Clock } from '@acaciadock/core';
import { type Commit, type CommitOutcome, createCommit } from './Commit.js';
import { type RecordEncoder } from './RecordEncoder.js';

/** Interval of the attempts, in milliseconds. */
export const SET_ASIDE_RETRY_MS = 1_000;

interface SetAsideRecord {
  readonly encode: RecordEncoder;
  readonly commit: Commit;
  /** Whether the log has refused it; a record that is too large is never sent. */
  readonly isRefused: boolean;
}

export class SetAsideRecords {
  private readonly records = new Map<string, SetAsideRecord>();

  private nextAttemptMs = 0;

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.records.size;
  }

  /** The outcome of all writes of the key that are not in the log; undefined if the key is not set aside. */
  outcomeOf(key: string): Promise<CommitOutcome> | undefined {
    return this.records.get(key)?.commit.promise;
  }

  add(key: string, encode: RecordEncoder, isRefused: boolean): void {
    const { commit } = this.records.get(key) ?? { commit: createCommit() };
    if (this.records.size === 0) this.postpone();
    this.records.set(key, { encode, commit, isRefused });
  }

  /**
   * Replaces a record that the log has refused, and returns the outcome of the write. Undefined if there is none:
   * a later form of a record that was too large may fit.
   */
  replaceRefused(key: string, encode: RecordEncoder): Promise<CommitOutcome> | undefined {
    const known = this.records.get(key);
    if (!known?.isRefused) return undefined;
    this.records.set(key, { ...known, encode });
    return known.commit.promise;
  }

  /** Settles the writes of the key. */
  settle(key: string, outcome: CommitOutcome): void {
    this.records.get(key)?.commit.settle(outcome);
    this.records.delete(key);
  }

  settleAll(outcome: CommitOutcome): void {
    [...this.records.keys()].forEach((key) => this.settle(key, outcome));
  }

  /** Time until the next attempt, in milliseconds. */
  get waitMs(): number {
    return Math.max(0, this.nextAttemptMs - this.clock.monotonicMs());
  }

  postpone(): void {
    this.nextAttemptMs = this.clock.monotonicMs() + SET_ASIDE_RETRY_MS;
  }

  /** The record that has waited longest for an attempt, if one is due; it becomes the last one. */
  takeDue(): readonly [string, RecordEncoder] | undefined {
    if (this.waitMs > 0) return undefined;
    const [first] = this.records;
    if (!first) return undefined;
    const [key, record] = first;
    this.records.delete(key);
    this.records.set(key, record);
    this.postpone();
    return [key, record.encode];
  }
}
