/**
 * Simulates the platform's log and ownership group in virtual time, with their faults: outages,
 * lost answers, appends that are executed late, members that expire.
 */
import { type ManualClock, type Random } from '@acaciadock/core';
import {
  type GroupMember,
  type GroupView,
  type KeyedRecord,
  type LogFailure,
  type NewestRecords,
  type OwnerNotice,
  type StoredRecord,
} from '@acaciadock/journal';
import { err, ok, type Result } from 'neverthrow';
import { type PausableClock } from './PausableClock.js';

const MEMBER_TTL_MS = 1_000;
const MAX_LATE_MS = 4_000;

/** Partitions of the group, which are distributed evenly over its members. */
const PARTITION_COUNT = 64;

/** The store refuses a record whose key, with its length in one byte, and value exceed this, in bytes. */
export const MAX_RECORD_BYTES = 262_144;

/** Time limit of a call without an answer, in milliseconds. */
export const CALL_TIMEOUT_MS = 2_000;

/** Injected faults of the store, for all entries or for one. */
export interface StoreFaults {
  /** Every call is rejected without effect. */
  isDown: boolean;
  /** Every call is left without an answer and without effect. */
  isSilent?: boolean;
  /** Every connection is reset: a call fails at once, and may have had an effect. */
  isResetting?: boolean;
  lostAnswerShare: number;
  latencyMs: number;
  /** Whether announcements of owners get lost. */
  losesNotices?: boolean;
  /** Additional time of a read of all newest records, as over a slow link, in milliseconds. */
  loadMs?: number;
  /** Whether reads of all newest records get no answer. */
  stallsLoads?: boolean;
}

export class SimulatedStore {
  readonly records: StoredRecord[] = [];

  readonly faults: StoreFaults = { isDown: false, lostAnswerShare: 0, latencyMs: 4 };

  /** An append with one of these keys is refused as invalid, as a whole. */
  readonly invalidKeys = new Set<string>();

  private notice: OwnerNotice | undefined;

  private generation = 0;

  private readonly members = new Map<string, { member: GroupMember; seenMs: number }>();

  /** The member that holds each partition of the group; only members with a partition are listed. */
  private readonly partitions: (string | undefined)[] = Array.from({ length: PARTITION_COUNT });

  constructor(
    private readonly clock: ManualClock,
    private readonly random: Random,
  ) {}

  append(at: number, records: readonly KeyedRecord[]): Result<void, LogFailure> {
    if (at !== this.records.length) {
      return err({ kind: 'offset-mismatch', endOffset: this.records.length });
    }
    const isTooLarge = records.some(
      ({ key, value }) => 1 + Buffer.byteLength(key) + (value?.length ?? 0) > MAX_RECORD_BYTES,
    );
    if (records.some(({ key }) => this.invalidKeys.has(key)))
      return err({ kind: 'invalid', detail: 'status 400' });
    if (isTooLarge) return err({ kind: 'invalid', detail: 'record too large' });
    records.forEach((record) => this.records.push({ ...record, offset: this.records.length }));
    return ok(undefined);
  }

  newest(): NewestRecords {
    const byKey = new Map<string, StoredRecord>();
    this.records.forEach((record) => {
      if (record.value) byKey.set(record.key, record);
      else byKey.delete(record.key);
    });
    const endOffset = this.records.length;
    return { records: [...byKey.values()], endOffset, followFrom: endOffset };
  }

  /** Starts a new group generation without a change of members, as the platform does at times. */
  startGeneration(): void {
    this.generation += 1;
  }

  /** Expires all members. */
  expireMembers(): void {
    this.members.clear();
    this.generation += 1;
  }

  join(member: GroupMember): GroupView {
    const key = `${member.entryId}/${member.bootMs}`;
    if (!this.members.has(key)) this.generation += 1;
    this.members.set(key, { member, seenMs: this.clock.monotonicMs() });
    this.dropLapsed();
    this.assignPartitions(key);
    return { generation: this.generation };
  }

  leave(member: GroupMember): void {
    if (this.members.delete(`${member.entryId}/${member.bootMs}`)) this.generation += 1;
  }

  /** The members that hold a partition. */
  listedMembers(): GroupMember[] {
    this.dropLapsed();
    return [...this.members]
      .filter(([key]) => this.partitions.includes(key))
      .map(([, { member }]) => member);
  }

  private dropLapsed(): void {
    const nowMs = this.clock.monotonicMs();
    this.members.forEach(({ seenMs }, key) => {
      if (nowMs - seenMs <= MEMBER_TTL_MS) return;
      this.members.delete(key);
      this.generation += 1;
    });
  }

  /**
   * Takes from a joining member what exceeds its share of the partitions, and gives the free ones to
   * members that have less than theirs. A dead member keeps its partitions until it expires.
   */
  private assignPartitions(joining: string): void {
    const keys = [...this.members.keys()];
    const missing = new Map(keys.map((key, rank) => [key, this.shareOf(rank) - this.heldBy(key)]));
    this.partitions.forEach((holder, index) => {
      const surplus = -(missing.get(joining) ?? 0);
      const isReleased = holder === joining && surplus > 0;
      if (holder !== undefined && this.members.has(holder) && !isReleased) return;
      if (isReleased) missing.set(joining, 1 - surplus);
      const taker = keys.find((key) => (missing.get(key) ?? 0) > 0);
      this.partitions[index] = taker;
      if (taker !== undefined) missing.set(taker, (missing.get(taker) ?? 0) - 1);
    });
  }

  private heldBy(key: string): number {
    return this.partitions.filter((holder) => holder === key).length;
  }

  private shareOf(rank: number): number {
    const { size } = this.members;
    return Math.floor(PARTITION_COUNT / size) + (rank < PARTITION_COUNT % size ? 1 : 0);
  }

  get announced(): OwnerNotice | undefined {
    return this.notice;
  }

  announce(notice: OwnerNotice): void {
    this.notice = notice;
  }

  /**
   * Simulates one call of an entry, which is rejected, executed, executed without an answer, or
   * executed late. `entryFaults` are the faults between that entry and the store.
   */
  call<T>(
    clock: PausableClock,
    entryFaults: StoreFaults,
    action: () => Result<T, LogFailure>,
  ): Promise<Result<T, LogFailure>> {
    return new Promise((resolve) => {
      const answer = (result: Result<T, LogFailure>): void => clock.fire(() => resolve(result));
      const latencyMs = this.faults.latencyMs + entryFaults.latencyMs;
      if (this.faults.isDown || entryFaults.isDown) {
        this.clock.after(latencyMs, () => answer(err({ kind: 'rejected', detail: 'down' })));
        return;
      }
      if (this.faults.isResetting === true || entryFaults.isResetting === true) {
        if (this.random.chance(0.5)) this.clock.after(latencyMs, () => action());
        this.clock.after(latencyMs, () => answer(SimulatedStore.noAnswer()));
        return;
      }
      if (this.faults.isSilent === true || entryFaults.isSilent === true) {
        this.clock.after(CALL_TIMEOUT_MS, () => answer(SimulatedStore.noAnswer()));
        return;
      }
      const isLost = this.random.chance(this.faults.lostAnswerShare + entryFaults.lostAnswerShare);
      if (!isLost) {
        this.clock.after(latencyMs, () => answer(action()));
        return;
      }
      const isLate = this.random.chance(0.5);
      this.clock.after(isLate ? this.random.next() * MAX_LATE_MS : latencyMs, () => action());
      this.clock.after(CALL_TIMEOUT_MS, () => answer(SimulatedStore.noAnswer()));
    });
  }

  private static noAnswer(): Result<never, LogFailure> {
    return err({ kind: 'unknown-outcome', detail: 'lost' });
  }
}
