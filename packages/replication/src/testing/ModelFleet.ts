/**
 * Entries that follow one log in virtual time, each with faults of its own. What the entries
 * serve is checked at every step: no version goes back, and a version is the same everywhere.
 */
import { setImmediate } from 'node:timers/promises';
import { Disposable, ManualClock, Random, toDisposable } from '@acaciadock/core';
import { canonicalJson, type ConfigDocument, type ConfigState } from '@acaciadock/config';
import { LogStore } from '@acaciadock/testkit';
import { type SnapshotScheduleOptions } from '../SnapshotSchedule.js';
import { MemoryPeerHub } from './MemoryPeerHub.js';
import { ModelEntry } from './ModelEntry.js';

const STEP_MS = 25;

export interface ModelFleetOptions {
  readonly entries: number;
  readonly initial: ConfigDocument;
  readonly snapshots?: SnapshotScheduleOptions;
}

const SNAPSHOTS: SnapshotScheduleOptions = { periodMs: 5_000, mostRecords: 20, jitterMs: 1_000 };

export interface ModelViolation {
  readonly kind: 'reverted' | 'diverged';
  readonly entryId: string;
  readonly version: number;
}

export class ModelFleet extends Disposable {
  readonly clock = new ManualClock();

  readonly store = new LogStore(this.clock);

  readonly hub = new MemoryPeerHub(this.clock);

  readonly violations: ModelViolation[] = [];

  readonly entries: ModelEntry[] = [];

  /** Text of the document of each version, as the first entry that reached it had it. */
  private readonly documents = new Map<number, string>();

  /** Newest version that every running entry has served. */
  private inForce = 0;

  private readonly random: Random;

  constructor(
    private readonly options: ModelFleetOptions,
    seed: number,
  ) {
    super();
    this.random = new Random(seed);
    for (let index = 0; index < options.entries; index += 1) {
      this.entries.push(this.create(index));
    }
    this.register(toDisposable(() => this.entries.forEach((entry) => entry.dispose())));
  }

  entry(index: number): ModelEntry {
    const entry = this.entries[index];
    if (!entry) throw new RangeError(`no entry ${index}`);
    return entry;
  }

  /** Ends an entry and starts a fresh one in its place, with nothing kept. */
  restart(index: number): ModelEntry {
    this.entry(index).dispose();
    this.entries[index] = this.create(index);
    return this.entry(index);
  }

  /** Moves time forward, and lets every entry handle what falls due. */
  async advance(durationMs: number): Promise<void> {
    const untilMs = this.clock.monotonicMs() + durationMs;
    while (this.clock.monotonicMs() < untilMs) {
      this.clock.advance(Math.min(STEP_MS, untilMs - this.clock.monotonicMs()));
      await setImmediate();
      this.checkServed();
    }
  }

  /** Whether all entries have reached this version. */
  allAt(version: number): boolean {
    return this.entries.every((entry) => entry.follower.state().version >= version);
  }

  private create(index: number): ModelEntry {
    const { initial, snapshots = SNAPSHOTS } = this.options;
    const entry = new ModelEntry(`e${index}`, this.store, this.hub, this.clock, this.random, {
      initial,
      snapshots,
    });
    let served = 0;
    entry.follower.onChange((state) => {
      if (state.version <= served) this.violate('reverted', entry, state.version);
      served = state.version;
      this.checkSame(entry, state);
    });
    return entry;
  }

  /** After a version was in force everywhere no entry that may serve is at an older one. */
  private checkServed(): void {
    this.entries.forEach((entry) => {
      const { follower } = entry;
      if (!follower.isReady() || follower.behindForMs() !== undefined) return;
      const { version } = follower.state();
      if (version < this.inForce) this.violate('reverted', entry, version);
    });
    const lowest = Math.min(...this.entries.map((entry) => entry.follower.state().version));
    this.inForce = Math.max(this.inForce, lowest);
  }

  private checkSame(entry: ModelEntry, state: ConfigState): void {
    const text = canonicalJson(state.document);
    const known = this.documents.get(state.version);
    if (known === undefined) this.documents.set(state.version, text);
    else if (known !== text) this.violate('diverged', entry, state.version);
  }

  private violate(kind: ModelViolation['kind'], entry: ModelEntry, version: number): void {
    this.violations.push({ kind, entryId: entry.entryId, version });
  }
}
