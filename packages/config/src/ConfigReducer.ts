/**
 * The reduction of configuration records, a pure function of the log: every reader that has read
 * the same records holds the same version and gives the same verdict on each patch.
 *
 * A patch is applied if and only if it is based on the current version and the result is valid.
 * A snapshot never changes a reader that has read on without a gap: there it is only checked. A
 * reader with a gap adopts one, and reads on from the record after the last that it includes. No
 * step ever lowers the version. A record of a newer format halts the reduction, because whether
 * it changed the configuration can't be told: going on without it could serve a withdrawn key.
 */
import { type ConfigDocument } from './ConfigDocument.js';
import { type ChangesSince, ConfigHistory } from './ConfigHistory.js';
import {
  type ComparedSnapshot,
  configRecordSchema,
  type PatchDecision,
  type PatchRecord,
  RECORD_SCHEMA_VERSION,
  recordHeadSchema,
  type RefusalKind,
  type SnapshotRecord,
} from './ConfigRecord.js';
import { type ConfigState } from './ConfigView.js';
import { DecisionMemory } from './DecisionMemory.js';
import { type PatchFault, patchDocument } from './DocumentPatch.js';
import { sameJson } from './sameJson.js';

export type PatchRefusal =
  | { readonly kind: 'stale-base'; readonly baseVersion: number; readonly currentVersion: number }
  | PatchFault
  /** A record with this id was refused before, and stays refused. */
  | { readonly kind: 'refused-before'; readonly first: RefusalKind };

export type RecordVerdict =
  | { readonly kind: 'applied'; readonly patchId: string; readonly version: number }
  | { readonly kind: 'repeated'; readonly patchId: string; readonly version: number }
  | { readonly kind: 'refused'; readonly patchId: string; readonly refusal: PatchRefusal }
  /** `compared` is false if this reader no longer keeps the document of that version. */
  | { readonly kind: 'snapshot-agrees'; readonly version: number; readonly compared: boolean }
  | { readonly kind: 'snapshot-contradicts'; readonly version: number }
  | { readonly kind: 'record-malformed'; readonly detail: string }
  | { readonly kind: 'record-too-new'; readonly schemaVersion: number }
  /** A peer relayed that the record changed nothing, without its content. */
  | { readonly kind: 'left-out' }
  | { readonly kind: 'already-read' }
  /** Records before this one are missing here; nothing was changed. */
  | { readonly kind: 'gap'; readonly missingOffset: number };

export type AdoptVerdict =
  | { readonly kind: 'adopted'; readonly version: number }
  /** The reader is past the snapshot. */
  | { readonly kind: 'not-newer' }
  /** The snapshot would lower the version, or differs at the same version: refused. */
  | { readonly kind: 'snapshot-contradicts'; readonly version: number };

export class ConfigReducer {
  private current: ConfigState;

  private readonly memory = new DecisionMemory();

  private readonly history: ConfigHistory;

  private haltedBy: number | undefined;

  constructor(initial: ConfigDocument) {
    this.current = { version: 0, offset: -1, document: initial };
    this.history = new ConfigHistory(initial);
  }

  get state(): ConfigState {
    return this.current;
  }

  /** The record format that halted the reduction; undefined while it goes on. */
  get haltedBySchemaVersion(): number | undefined {
    return this.haltedBy;
  }

  /** How a patch was decided; undefined if it was not read, or too long ago. */
  decision(patchId: string): PatchDecision | undefined {
    return this.memory.find(patchId);
  }

  changesSince(version: number): ChangesSince {
    return this.history.since(version, this.current.version);
  }

  /** A snapshot of what is reduced so far. */
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

  /** Reduces the record at `offset`, which must follow the one before without a gap. */
  reduce(offset: number, payload: unknown): RecordVerdict {
    if (offset <= this.current.offset) return { kind: 'already-read' };
    const expected = this.current.offset + 1;
    if (offset > expected) return { kind: 'gap', missingOffset: expected };
    const head = recordHeadSchema.safeParse(payload);
    if (head.success && head.data.schemaVersion > RECORD_SCHEMA_VERSION) {
      this.haltedBy = head.data.schemaVersion;
      return { kind: 'record-too-new', schemaVersion: head.data.schemaVersion };
    }
    const parsed = configRecordSchema.safeParse(payload);
    this.current = { ...this.current, offset };
    if (!parsed.success) return { kind: 'record-malformed', detail: parsed.error.message };
    if (parsed.data.kind === 'snapshot') return this.checkSnapshot(offset, parsed.data);
    return this.reducePatch(offset, parsed.data);
  }

  /** Steps over the record at `offset`, of which it is known that it changed nothing. */
  stepOver(offset: number): RecordVerdict {
    if (offset <= this.current.offset) return { kind: 'already-read' };
    const expected = this.current.offset + 1;
    if (offset > expected) return { kind: 'gap', missingOffset: expected };
    this.current = { ...this.current, offset };
    return { kind: 'left-out' };
  }

  /** Takes over a snapshot that is ahead of this reader, which has missed records before it. */
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
    if (earlier) return ConfigReducer.repeat(earlier);
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

  private static repeat(earlier: PatchDecision): RecordVerdict {
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

  private checkSnapshot(offset: number, record: ComparedSnapshot): RecordVerdict {
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
