/** The platform in virtual time: one control stream, and the list of entries with its lag. */
import { type Random } from '@acaciadock/core';
import { type InstanceList, type LogRecord } from '@acaciadock/platform';
import { CreditBook } from '../CreditBook.js';
import { type EventQueue } from './EventQueue.js';

const START_UNIX_MS = 1_800_000_000_000;
const LIST_LAG_MS = 1_000;

export interface AppendFaults {
  lossRatio: number;
  mostDelayMs: number;
}

export class SimulatedPlatform {
  /** What the log says at its end: the measure that all nodes are held against. */
  readonly truth = new CreditBook();

  readonly records: LogRecord[] = [];

  readonly appendFaults: AppendFaults = { lossRatio: 0, mostDelayMs: 0 };

  logDown = false;

  /** Entries that the list leaves out by mistake. */
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

  /** Takes records on their way to the log: they may be lost or land late, also in an outage. */
  append(payloads: readonly object[]): void {
    if (this.logDown || this.random.chance(this.appendFaults.lossRatio)) return;
    const delayMs = 2 + this.random.next() * this.appendFaults.mostDelayMs;
    this.queue.after(delayMs, () => payloads.forEach((payload) => this.land(payload)));
  }

  /** Records from `offset` on as of now. */
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
    const seenAtMs = this.queue.nowMs - LIST_LAG_MS;
    const shown = [...this.listed.keys()].filter((entryId) => {
      const goneAtMs = this.unlisted.get(entryId) ?? Number.POSITIVE_INFINITY;
      return goneAtMs > seenAtMs && !this.omitted.has(entryId);
    });
    return {
      observedAtMs: this.unixMs(),
      instances: shown.map((instanceId) => ({ instanceId, role: 'entry', state: 'live' })),
    };
  }

  private land(payload: object): void {
    const offset = this.records.length;
    const record: LogRecord = { offset, appendedAtMs: this.unixMs(), payload };
    this.records.push(record);
    this.truth.reduce(record);
  }
}
