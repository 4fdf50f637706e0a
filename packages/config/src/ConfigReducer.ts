/**
 * Reduces configuration records to the current configuration. The result is a pure function of the
 * log: every reader that has read the same records has the same version and reaches the same
 * verdict on each patch.
 *
 * A patch is applied if and only if it is based on the current version and the result is valid. A
 * snapshot never changes a reader that has read every record before it: such a reader only compares
 * the snapshot with its own document. A reader that has missed records adopts a snapshot and
 * continues after the last record that the snapshot includes. The version never decreases. A record
 * of a newer format halts the reduction, because it can't be determined whether the record changed
 * the configuration: an entry that skipped it could continue to accept a withdrawn key.
 */
import { type ConfigDocument } from './ConfigDocument.js';
import { type ChangesSince, ConfigHistory } from './ConfigHistory.js';
import {
  type UnvalidatedSnapshot,
  configRecordSchema,
  type PatchDecision,
  type PatchRecord,
  RECORD_SCHEMA_VERSION,
  recordHeaderSchema,
  type RefusalKind,
  type SnapshotRecord,
} from './ConfigRecord.js';
import { type ConfigState } from './ConfigView.js';
import { RecentDecisions } from './RecentDecisions.js';
import { type PatchFault, patchDocument } from './DocumentPatch.js';
import { sameJson } from './sameJson.js';

export type PatchRefusal =
  | { readonly kind: 'stale-base'; readonly baseVersion: number; readonly currentVersion: number }
  | PatchFault
  /** An earlier record with this id was refused; a repetition stays refused. */
  | { readonly kind: 'refused-before'; readonly first: RefusalKind };

export type RecordVerdict =
  | { readonly kind: 'applied'; readonly patchId: string; readonly version: number }
  | { readonly kind: 'repeated'; readonly patchId: string; readonly version: number }
  | { readonly kind: 'refused'; readonly patchId: string; readonly refusal: PatchRefusal }
  /** `compared` is false if this reader no longer has the document of that version. */
  | { readonly kind: 'snapshot-agrees'; readonly version: number; readonly compared: boolean }
  | { readonly kind: 'snapshot-contradicts'; readonly version: number }
  | { readonly kind: 'record-malformed'; readonly detail: string }
  | { readonly kind: 'record-too-new'; readonly schemaVersion: number }
  /** A peer relayed the record without its content, because the record changed nothing. */
  | { readonly kind: 'left-out' }
  | { readonly kind: 'already-read' }
  /** Records before this one have not been read; nothing was changed. */
  | { readonly kind: 'gap'; readonly missingOffset: number };

export type AdoptVerdict =
  | { readonly kind: 'adopted'; readonly version: number }
  /** The reader has already read all records that the snapshot includes. */
  | { readonly kind: 'not-newer' }
  /** Refused: the snapshot has a lower version, or another document of the same version. */
  | { readonly kind: 'snapshot-contradicts'; readonly version: number };

export class ConfigReducer {
  private current: ConfigState;

  private readonly memory = new RecentDecisions();

  private readonly history: ConfigHistory;

  private haltedBy: number | undefined;

  constructor(initial: ConfigDocument) {
    this.current = { version: 0, offset: -1, document: initial };
    this.history = new ConfigHistory(initial);
  }

  get state(): ConfigState {
    return this.current;
  }

  /** The format version of the record that halted the reduction; undefined if it is not halted. */
  get haltedBySchemaVersion(): number | undefined {
    return this.haltedBy;
  }

  /** The decision on a patch; undefined if its record was not read or the decision was evicted. */
  decision(patchId: string): PatchDecision | undefined {
    return this.memory.find(patchId);
  }

  changesSince(version: number): ChangesSince {
    return this.history.since(version, this.current.version);
  }

  /** A snapshot of the current state. */
  snapshot(): SnapshotRecord {
    const { version, offset, document } = this.current;
    return {
      kind: 'snapshot',
      schemaVersion: RECORD_SCHEMA_VERSION,
      version,
      includedOffset: offset,
      document,
      decisions: this.memory.list(),
    };
  }

  /** Reduces the record at `offset`, which must directly follow the last record that was read. */
  reduce(offset: number, payload: unknown): RecordVerdict {
    if (offset <= this.current.offset) return { kind: 'already-read' };
    const expected = this.current.offset + 1;
    if (offset > expected) return { kind: 'gap', missingOffset: expected };
    const header = recordHeaderSchema.safeParse(payload);
    if (header.success && header.data.schemaVersion > RECORD_SCHEMA_VERSION) {
      this.haltedBy = header.data.schemaVersion;
      return { kind: 'record-too-new', schemaVersion: header.data.schemaVersion };
    }
    const parsed = configRecordSchema.safeParse(payload);
    this.current = { ...this.current, offset };
    if (!parsed.success) return { kind: 'record-malformed', detail: parsed.error.message };
    if (parsed.data.kind === 'snapshot') return this.checkSnapshot(offset, parsed.data);
    return this.reducePatch(offset, parsed.data);
  }

  /** Skips the record at `offset`, which is known to have changed nothing. */
  skip(offset: number): RecordVerdict {
    if (offset <= this.current.offset) return { kind: 'already-read' };
    const expected = this.current.offset + 1;
    if (offset > expected) return { kind: 'gap', missingOffset: expected };
    this.current = { ...this.current, offset };
    return { kind: 'left-out' };
  }

  /** Replaces the state by a snapshot that is ahead of this reader, to bridge missing records. */
  adopt(snapshot: SnapshotRecord): AdoptVerdict {
    const { version, includedOffset, document } = snapshot;
    if (includedOffset <= this.current.offset) return { kind: 'not-newer' };
    if (version < this.current.version) return { kind: 'snapshot-contradicts', version };
    if (version === this.current.version && !sameJson(document, this.current.document)) {
      return { kind: 'snapshot-contradicts', version };
    }
    this.current = { version, offset: includedOffset, document };
    this.history.restart(includedOffset, version, document);
    this.memory.replaceWith(snapshot.decisions);
    this.haltedBy = undefined;
    return { kind: 'adopted', version };
  }

  private reducePatch(offset: number, record: PatchRecord): RecordVerdict {
    const { patchId } = record;
    const earlier = this.memory.find(patchId);
    if (earlier) return ConfigReducer.repeatedVerdict(earlier);
    const { version, document } = this.current;
    if (record.baseVersion !== version) {
      const { baseVersion } = record;
      return this.refuse(patchId, { kind: 'stale-base', baseVersion, currentVersion: version });
    }
    const patched = patchDocument(document, record.operations);
    if (!patched.ok) return this.refuse(patchId, patched.refusal);
    this.current = { version: version + 1, offset, document: patched.document };
    this.memory.add({ patchId, version: version + 1 });
    this.history.add(offset, version + 1, record, patched.document);
    return { kind: 'applied', patchId, version: version + 1 };
  }

  private static repeatedVerdict(earlier: PatchDecision): RecordVerdict {
    const { patchId } = earlier;
    if ('version' in earlier) return { kind: 'repeated', patchId, version: earlier.version };
    return {
      kind: 'refused',
      patchId,
      refusal: { kind: 'refused-before', first: earlier.refusal },
    };
  }

  private refuse(
    patchId: string,
    refusal: Exclude<PatchRefusal, { kind: 'refused-before' }>,
  ): RecordVerdict {
    this.memory.add({ patchId, refusal: refusal.kind });
    return { kind: 'refused', patchId, refusal };
  }

  private checkSnapshot(offset: number, record: UnvalidatedSnapshot): RecordVerdict {
    const { version, includedOffset } = record;
    if (includedOffset >= offset) return { kind: 'snapshot-contradicts', version };
    const own = this.history.at(includedOffset);
    if (!own) {
      const possible = version <= this.current.version;
      if (!possible) return { kind: 'snapshot-contradicts', version };
      return { kind: 'snapshot-agrees', version, compared: false };
    }
    const same = own.version === version && sameJson(own.document, record.document);
    if (!same) return { kind: 'snapshot-contradicts', version };
    return { kind: 'snapshot-agrees', version, compared: true };
  }
}
