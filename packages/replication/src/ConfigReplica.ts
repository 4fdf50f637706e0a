/**
 * The state of the configuration at this entry, without I/O: it is computed from the records, from
 * the log or from peers, and the positions that are passed in. The replica owns the version in
 * force at this entry, which never decreases, and detects whether a newer one exists.
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

const MAX_RELAYED_RECORDS = 500;
const MAX_RELAYED_BYTES = 4 * 1024 * 1024;

/** A record from the log or from a peer. */
export interface IncomingRecord extends RelayedRecord {
  /** Time of the append by the log's clock; undefined for a record that a peer relayed. */
  readonly appendedAtMs?: number;
}

export interface ReducedRecord {
  readonly offset: number;
  readonly appendedAtMs: number | undefined;
  readonly verdict: RecordVerdict;
  readonly state: ConfigState;
}

/** The first records, at least one, whose total size is within the limit of one message. */
function limitToMessageSize(records: readonly RelayedRecord[]): RelayedRecord[] {
  let bytes = 0;
  return records.filter((record, index) => {
    bytes += JSON.stringify(record).length;
    return index === 0 || bytes <= MAX_RELAYED_BYTES;
  });
}

export class ConfigReplica extends Disposable implements ConfigView {
  private readonly reducer: ConfigReducer;

  private readonly recent = new RecentRecords();

  private readonly peers: PeerPositions;

  private readonly changeEmitter = this.register(new EventEmitter<ConfigState>());

  readonly onChange = this.changeEmitter.event;

  private readonly recordEmitter = this.register(new EventEmitter<ReducedRecord>());

  /** Fires for every record read, with the verdict, which is the same at every reader. */
  readonly onRecord = this.recordEmitter.event;

  private readonly alarmEmitter = this.register(new EventEmitter<ConfigAlarm>());

  readonly onAlarm = this.alarmEmitter.event;

  private readonly freshnessEmitter = this.register(new EventEmitter<void>());

  readonly onFreshness = this.freshnessEmitter.event;

  /** The furthest known end of the log; unread records before it may create a newer version. */
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
    return this.peers.aheadOf(this.state().offset);
  }

  /** For how long a version newer than the own has been known, in milliseconds. */
  behindForMs(): number | undefined {
    this.updateFreshness();
    if (this.behindSinceMs === undefined) return undefined;
    return this.clock.monotonicMs() - this.behindSinceMs;
  }

  /** Reduces records in order, and stops at a gap or at a record of a newer format. */
  applyRecords(records: readonly IncomingRecord[]): void {
    for (const record of records) {
      if (!this.applyRecord(record)) break;
    }
    this.updateFreshness();
  }

  /** Adopts a snapshot if it is ahead of this entry; false if it is not, or if it was refused. */
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

  /** Records how far the log reaches. */
  observeLogEnd(endOffset: number): void {
    this.logEndOffset = Math.max(this.logEndOffset, endOffset);
    this.updateFreshness();
  }

  /** Raises an alarm: the log ends before records that this entry has already read. */
  observeShortenedLog(endOffset: number): void {
    this.raise({ kind: 'log-shortened', endOffset, ownOffset: this.state().offset });
  }

  /** Raises an alarm: records are missing and no snapshot in the log bridges the gap. */
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

  /**
   * The message with what a peer that has read up to `afterOffset` is missing: records if they are
   * still kept, otherwise a snapshot. Undefined if the peer is missing nothing.
   */
  relay(afterOffset: number): ConfigRecords | undefined {
    if (afterOffset >= this.state().offset) return undefined;
    const records = this.recent.after(afterOffset, MAX_RELAYED_RECORDS);
    if (records) return { kind: 'config-records', records: limitToMessageSize(records) };
    return { kind: 'config-records', snapshot: this.snapshot(), records: [] };
  }

  private applyRecord(record: IncomingRecord): boolean {
    const { offset, payload } = record;
    const before = this.state().version;
    const verdict = record.leftOut
      ? this.reducer.skip(offset)
      : this.reducer.reduce(offset, payload);
    if (verdict.kind === 'already-read') return true;
    if (verdict.kind === 'gap') return false;
    this.raiseAlarmFor(offset, verdict);
    if (verdict.kind === 'record-too-new') return false;
    this.recent.add(record);
    const state = this.state();
    if (state.version > before) this.changeEmitter.fire(state);
    this.recordEmitter.fire({ offset, appendedAtMs: record.appendedAtMs, verdict, state });
    return true;
  }

  private raiseAlarmFor(offset: number, verdict: RecordVerdict): void {
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

  /** Raises an alarm, unless it is identical to the previous one. */
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
