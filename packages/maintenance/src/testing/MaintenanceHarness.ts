/**
 * Runs several controllers on one log, one configuration and one platform in virtual time. Tests
 * can give instances open runs that end at a set time, so that a reboot during a run is detected.
 */
import {
  type EntryId,
  EventEmitter,
  type HomeMap,
  type InstanceId,
  ManualClock,
} from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { type PeerMessage, type PeerNetwork, type ReceivedMessage } from '@acaciadock/peers';
import { type InstanceDirectory, type InstanceList } from '@acaciadock/platform';
import { ok } from 'neverthrow';
import { type InstanceProbe } from '../InstanceProbe.js';
import { type MaintenanceCommand } from '../MaintenanceRecord.js';
import { type MaintenanceState } from '../MaintenanceState.js';
import { type RunCounter } from '../RunCounter.js';
import { FakePlatform } from './FakePlatform.js';
import { HarnessEntry } from './HarnessEntry.js';
import { MemoryLog } from './MemoryLog.js';
import { SharedConfig } from './SharedConfig.js';

const STEP_MS = 50;
const TURNS_PER_STEP = 4;

export class MaintenanceHarness {
  readonly clock = new ManualClock();

  readonly log = new MemoryLog(this.clock);

  readonly config: SharedConfig;

  readonly platform: FakePlatform;

  readonly entryIds: readonly EntryId[];

  readonly homes: HomeMap;

  readonly unhealthy = new Set<InstanceId>();

  readonly leaving = new Set<InstanceId>();

  readonly entries: HarnessEntry[] = [];

  /** When the last open run of an instance ends, by the monotonic clock. */
  readonly runsEndMs = new Map<InstanceId, number>();

  private readonly inboxes = new Map<EntryId, EventEmitter<ReceivedMessage>>();

  constructor(document: ConfigDocument, entryCount: number, seed: number) {
    this.config = new SharedConfig(document);
    this.platform = new FakePlatform(this.clock, (instanceId) => this.openRuns(instanceId));
    this.entryIds = Array.from({ length: entryCount }, (_, index) => `e${index}`);
    const none = new EventEmitter<void>();
    this.homes = {
      onChange: none.event,
      rankedHomes: () => this.entryIds,
      liveEntries: () => this.entryIds,
    };
    this.entryIds.forEach((entryId, index) => {
      this.entries.push(new HarnessEntry(this, entryId, this.networkOf(entryId), seed + index));
    });
  }

  get directory(): InstanceDirectory {
    const list = (): InstanceList => ({
      observedAtMs: this.clock.unixMs(),
      instances: Object.keys(this.config.state().document.instances).map((instanceId) => ({
        instanceId,
        role: 'target',
        state: this.leaving.has(instanceId) ? 'leaving' : 'live',
      })),
    });
    return { list: async () => ok(list()) };
  }

  get probe(): InstanceProbe {
    return {
      isHealthy: async (instanceId) => {
        const rebooting = this.platform.reboots.some(
          (reboot) =>
            reboot.instanceId === instanceId &&
            this.platform.operations.get(reboot.operationId) === 'running',
        );
        return !rebooting && !this.unhealthy.has(instanceId);
      },
    };
  }

  /** The state at the reader that has read furthest. */
  get state(): MaintenanceState {
    const alive = this.entries.filter(({ reader }) => !reader.isDisposed);
    const [furthest] = alive.sort((a, b) => b.reader.lastOffset - a.reader.lastOffset);
    if (!furthest) throw new Error('no controller is running');
    return furthest.reader.state;
  }

  /** The entry that holds the controller role. */
  get holder(): HarnessEntry | undefined {
    return this.entries.find(({ role }) => role.epoch !== undefined);
  }

  openRuns(instanceId: InstanceId): number {
    return this.clock.monotonicMs() < (this.runsEndMs.get(instanceId) ?? 0) ? 1 : 0;
  }

  /** All runs belong to the gateway of the first entry. */
  runsOf(entryId: EntryId): RunCounter {
    return {
      openRuns: (instanceId) => (entryId === 'e0' ? this.openRuns(instanceId) : 0),
      runningByService: () => new Map(),
    };
  }

  /** Runs until `condition` holds; false if it does not within `timeoutMs` of virtual time. */
  async runUntil(condition: () => boolean, timeoutMs = 120_000): Promise<boolean> {
    const untilMs = this.clock.monotonicMs() + timeoutMs;
    while (!condition()) {
      if (this.clock.monotonicMs() >= untilMs) return false;
      await this.step();
    }
    return true;
  }

  async run(durationMs: number): Promise<void> {
    await this.runUntil(() => false, durationMs);
  }

  /** Submits a command and runs until its outcome is known, at most 10 s. */
  async command(command: MaintenanceCommand): Promise<string> {
    const alive = this.entries.find(({ reader }) => !reader.isDisposed);
    let outcome: string | undefined;
    const id = `c${this.clock.monotonicMs()}`;
    void alive?.commands.submit(id, 'test', command).then(({ kind }) => {
      outcome = kind;
    });
    await this.runUntil(() => outcome !== undefined, 10_000);
    return outcome ?? 'none';
  }

  dispose(): void {
    this.entries.forEach((entry) => entry.killController());
  }

  private async step(): Promise<void> {
    this.clock.advance(STEP_MS);
    for (let turn = 0; turn < TURNS_PER_STEP; turn += 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  private networkOf(entryId: EntryId): PeerNetwork {
    const inbox = new EventEmitter<ReceivedMessage>();
    this.inboxes.set(entryId, inbox);
    return {
      selfEntryId: entryId,
      onMessage: inbox.event,
      send: (toEntryId: EntryId, message: PeerMessage) => {
        this.clock.after(0, () => {
          this.inboxes.get(toEntryId)?.fire({ fromEntryId: entryId, message });
        });
        return true;
      },
      setPeers: () => undefined,
    };
  }
}
