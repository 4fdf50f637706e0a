/** The platform in virtual time: the control stream and the list of entries, which lags behind. */
import { type Random } from '@acaciadock/core';
import { type InstanceList, type LogRecord } from '@acaciadock/platform';
import { CreditBook } from '../CreditBook.js';
import { type EventQueue } from './EventQueue.js';

const START_UNIX_MS = 1_800_000_000_000;
const LIST_LAG_MS = 1_000;

export interface AppendFaults {
  lossRatio: number;
  maxDelayMs: number;
}

export class SimulatedPlatform {
  /** State after all records of the log: the reference for checking the nodes. */
  readonly referenceBook = new CreditBook();

  readonly records: LogRecord[] = [];

  readonly appendFaults: AppendFaults = { lossRatio: 0, maxDelayMs: 0 };

  logDown = false;

  /** Running entries that the list wrongly omits. */
  omitted = new Set<string>();

  private readonly listed = new Map<string, number>();

  private readonly unlisted = new Map<string, number>();

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
  ) {}

  unixMs(): number {
    return START_UNIX_MS + this.queue.nowMs;
  }

  /** Sends records to the log. They may be lost, or delayed until after an outage has begun. */
  append(payloads: readonly object[]): void {
    if (this.logDown || this.random.chance(this.appendFaults.lossRatio)) return;
    const delayMs = 2 + this.random.next() * this.appendFaults.maxDelayMs;
    this.queue.after(delayMs, () => payloads.forEach((payload) => this.commit(payload)));
  }

  /** Records from `offset` on that have been appended so far. */
  read(offset: number): readonly LogRecord[] {
    return this.records.slice(offset);
  }

  addToList(entryId: string): void {
    this.listed.set(entryId, this.queue.nowMs);
    this.unlisted.delete(entryId);
  }

  removeFromList(entryId: string): void {
    this.unlisted.set(entryId, this.queue.nowMs);
  }

  list(): InstanceList {
    const listedAsOfMs = this.queue.nowMs - LIST_LAG_MS;
    const visible = [...this.listed.keys()].filter((entryId) => {
      const goneAtMs = this.unlisted.get(entryId) ?? Number.POSITIVE_INFINITY;
      return goneAtMs > listedAsOfMs && !this.omitted.has(entryId);
    });
    return {
      observedAtMs: this.unixMs(),
      instances: visible.map((instanceId) => ({ instanceId, role: 'entry', state: 'live' })),
    };
  }

  private commit(payload: object): void {
    const offset = this.records.length;
    const record: LogRecord = { offset, appendedAtMs: this.unixMs(), payload };
    this.records.push(record);
    this.referenceBook.reduce(record);
  }
}
