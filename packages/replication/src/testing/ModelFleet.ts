/**
 * Several entries that follow one log in virtual time, each with its own injected faults. The fleet
 * checks at every step that no entry returns to an older version and that a version has the same
 * document at every entry.
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

const SNAPSHOTS: SnapshotScheduleOptions = { periodMs: 5_000, maxRecords: 20, jitterMs: 1_000 };

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

  /** Canonical JSON of the document of each version, from the first entry that reached it. */
  private readonly documents = new Map<number, string>();

  /** The newest version that all entries have reached. */
  private servedEverywhere = 0;

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

  /** Disposes an entry and starts a new one in its place, without any of its state. */
  restart(index: number): ModelEntry {
    this.entry(index).dispose();
    this.entries[index] = this.create(index);
    return this.entry(index);
  }

  /** Moves time forward in steps and lets every entry handle its due timers and messages. */
  async advance(durationMs: number): Promise<void> {
    const untilMs = this.clock.monotonicMs() + durationMs;
    while (this.clock.monotonicMs() < untilMs) {
      this.clock.advance(Math.min(STEP_MS, untilMs - this.clock.monotonicMs()));
      await setImmediate();
      this.checkServed();
    }
  }

  /** Whether all entries have reached at least this version. */
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
      if (state.version <= served) this.recordViolation('reverted', entry, state.version);
      served = state.version;
      this.checkConsistent(entry, state);
    });
    return entry;
  }

  /**
   * Checks that no entry that may serve has an older version than one that was in force at all
   * entries.
   */
  private checkServed(): void {
    this.entries.forEach((entry) => {
      const { follower } = entry;
      if (!follower.isReady() || follower.behindForMs() !== undefined) return;
      const { version } = follower.state();
      if (version < this.servedEverywhere) this.recordViolation('reverted', entry, version);
    });
    const lowest = Math.min(...this.entries.map((entry) => entry.follower.state().version));
    this.servedEverywhere = Math.max(this.servedEverywhere, lowest);
  }

  private checkConsistent(entry: ModelEntry, state: ConfigState): void {
    const text = canonicalJson(state.document);
    const known = this.documents.get(state.version);
    if (known === undefined) this.documents.set(state.version, text);
    else if (known !== text) this.recordViolation('diverged', entry, state.version);
  }

  private recordViolation(kind: ModelViolation['kind'], entry: ModelEntry, version: number): void {
    this.violations.push({ kind, entryId: entry.entryId, version });
  }
}
