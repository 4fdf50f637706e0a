/**
 * The configuration as far as this entry has read it, from the log or from peers: a pure decision
 * over the records and positions that it is told of. It owns the version in force here, which
 * never goes back, and knows whether a newer one exists.
 */
import { type Clock, Disposable, type EntryId, EventEmitter } from '@acaciadock/core';
import {
  canonicalJson,
  type ChangesSince,
  type ConfigDocument,
  ConfigReducer,
  type ConfigState,
  type ConfigView,
  type PatchDecision,
  type RecordVerdict,
  type SnapshotRecord,
  snapshotRecordSchema,
} from '@acaciadock/config';
import { type ConfigRecords, type Heartbeat, type RelayedRecord } from '@acaciadock/peers';
import { type ConfigAlarm } from './ConfigAlarm.js';
import { PeerPositions, type PeerPosition } from './PeerPositions.js';
import { RecentRecords } from './RecentRecords.js';

const MOST_RELAYED_RECORDS = 500;
const MOST_RELAYED_BYTES = 4 * 1024 * 1024;

/** A record from the log or from a peer. */
export interface IncomingRecord extends RelayedRecord {
  /** The log's clock at the append; a relay does not tell it. */
  readonly appendedAtMs?: number;
}

export interface ReducedRecord {
  readonly offset: number;
  readonly appendedAtMs: number | undefined;
  readonly verdict: RecordVerdict;
  readonly state: ConfigState;
}

/** The first records, at least one, that together stay within what one message may carry. */
function withinBytes(records: readonly RelayedRecord[]): RelayedRecord[] {
  let bytes = 0;
  return records.filter((record, index) => {
    bytes += JSON.stringify(record).length;
    return index === 0 || bytes <= MOST_RELAYED_BYTES;
  });
}

export class ConfigReplica extends Disposable implements ConfigView {
  private readonly reducer: ConfigReducer;

  private readonly recent = new RecentRecords();

  private readonly peers: PeerPositions;

  private readonly changeEmitter = this.register(new EventEmitter<ConfigState>());

  readonly onChange = this.changeEmitter.event;

  private readonly recordEmitter = this.register(new EventEmitter<ReducedRecord>());

  /** Fires for every record read, with the verdict that all readers give alike. */
  readonly onRecord = this.recordEmitter.event;

  private readonly alarmEmitter = this.register(new EventEmitter<ConfigAlarm>());

  readonly onAlarm = this.alarmEmitter.event;

  private readonly freshnessEmitter = this.register(new EventEmitter<void>());

  readonly onFreshness = this.freshnessEmitter.event;

  /** End of the log as last seen; records before it that are not read may hold a version. */
  private logEndOffset = 0;

  private behindSinceMs: number | undefined;

  private lastAlarm = '';

  constructor(
    private readonly clock: Clock,
    initial: ConfigDocument,
  ) {
    super();
    this.reducer = new ConfigReducer(initial);
    this.peers = new PeerPositions(clock);
  }

  state(): ConfigState {
    return this.reducer.state;
  }

  decision(patchId: string): PatchDecision | undefined {
    return this.reducer.decision(patchId);
  }

  changesSince(version: number): ChangesSince {
    return this.reducer.changesSince(version);
  }

  snapshot(): SnapshotRecord {
    return this.reducer.snapshot();
  }

  peerPositions(): readonly PeerPosition[] {
    return this.peers.list();
  }

  /** Peers that have read further than this entry, the furthest first. */
  peersAhead(): readonly PeerPosition[] {
    return this.peers.past(this.state().offset);
  }

  /** For how long a newer version than the own has been known of, in milliseconds. */
  behindForMs(): number | undefined {
    this.updateFreshness();
    if (this.behindSinceMs === undefined) return undefined;
    return this.clock.monotonicMs() - this.behindSinceMs;
  }

  /** Reduces records in order, up to the first that does not follow without a gap. */
  accept(records: readonly IncomingRecord[]): void {
    for (const record of records) {
      if (!this.acceptOne(record)) break;
    }
    this.updateFreshness();
  }

  /** Adopts a snapshot if it is ahead of this entry; false if it is not or does not fit. */
  adopt(payload: unknown): boolean {
    const snapshot = snapshotRecordSchema.safeParse(payload);
    if (!snapshot.success) return false;
    const { version, includedOffset: offset } = snapshot.data;
    const before = this.state().version;
    const verdict = this.reducer.adopt(snapshot.data);
    if (verdict.kind === 'snapshot-contradicts') {
      this.raise({ kind: 'snapshot-contradicts', offset, version });
    }
    if (verdict.kind !== 'adopted') return false;
    this.recent.clear();
    if (version > before) this.changeEmitter.fire(this.state());
    this.updateFreshness();
    return true;
  }

  /** Notes how far the log reaches. */
  observeLogEnd(endOffset: number): void {
    this.logEndOffset = Math.max(this.logEndOffset, endOffset);
    this.updateFreshness();
  }

  /** Notes that the log ended before the record that was asked for. */
  observeShortenedLog(endOffset: number): void {
    this.raise({ kind: 'log-shortened', endOffset, ownOffset: this.state().offset });
  }

  /** Notes that records are missing and no snapshot in the log bridges the gap. */
  observeNoSnapshot(firstOffset: number): void {
    this.raise({ kind: 'no-snapshot', firstOffset });
  }

  observeHeartbeat(entryId: EntryId, heartbeat: Heartbeat): void {
    this.peers.observe(entryId, heartbeat);
    const { configVersion: peerVersion, configOffset: offset } = heartbeat;
    const { version: ownVersion, offset: ownOffset } = this.state();
    if (offset === ownOffset && peerVersion !== ownVersion) {
      this.raise({ kind: 'peer-diverged', entryId, offset, ownVersion, peerVersion });
    }
    this.updateFreshness();
  }

  /** What a peer that has read up to `afterOffset` lacks; undefined if it lacks nothing. */
  relay(afterOffset: number): ConfigRecords | undefined {
    if (afterOffset >= this.state().offset) return undefined;
    const records = this.recent.after(afterOffset, MOST_RELAYED_RECORDS);
    if (records) return { kind: 'config-records', records: withinBytes(records) };
    return { kind: 'config-records', snapshot: this.snapshot(), records: [] };
  }

  private acceptOne(record: IncomingRecord): boolean {
    const { offset, payload } = record;
    const before = this.state().version;
    const verdict = record.leftOut
      ? this.reducer.stepOver(offset)
      : this.reducer.reduce(offset, payload);
    if (verdict.kind === 'already-read') return true;
    if (verdict.kind === 'gap') return false;
    this.alarmFor(offset, verdict);
    if (verdict.kind === 'record-too-new') return false;
    this.recent.add(record);
    const state = this.state();
    if (state.version > before) this.changeEmitter.fire(state);
    this.recordEmitter.fire({ offset, appendedAtMs: record.appendedAtMs, verdict, state });
    return true;
  }

  private alarmFor(offset: number, verdict: RecordVerdict): void {
    if (verdict.kind === 'snapshot-contradicts') {
      this.raise({ kind: verdict.kind, offset, version: verdict.version });
    }
    if (verdict.kind === 'record-malformed') {
      this.raise({ kind: verdict.kind, offset, detail: verdict.detail });
    }
    if (verdict.kind === 'record-too-new') {
      this.raise({ kind: verdict.kind, offset, schemaVersion: verdict.schemaVersion });
    }
  }

  /** Fires an alarm, unless it is the same as the one before. */
  private raise(alarm: ConfigAlarm): void {
    const text = canonicalJson(alarm);
    if (text === this.lastAlarm) return;
    this.lastAlarm = text;
    this.alarmEmitter.fire(alarm);
  }

  private updateFreshness(): void {
    const behind = this.isBehind();
    if (behind === (this.behindSinceMs !== undefined)) return;
    this.behindSinceMs = behind ? this.clock.monotonicMs() : undefined;
    this.freshnessEmitter.fire();
  }

  private isBehind(): boolean {
    if (this.reducer.haltedBySchemaVersion !== undefined) return true;
    if (this.peers.newestVersion() > this.state().version) return true;
    return this.logEndOffset > this.state().offset + 1;
  }
}
