/**
 * The reduction of configuration records, a pure function of the log: every reader that has read
 * the same records holds the same version and gives the same verdict on each patch.
 */
import { applyPatch } from 'rfc6902';
import { type ConfigDocument, configDocumentSchema } from './ConfigDocument.js';
import {
  configRecordSchema,
  type PatchOperation,
  type PatchRecord,
  type SnapshotRecord,
} from './ConfigRecord.js';
import { type ConfigState } from './ConfigView.js';

/** How many accepted patch ids are remembered to recognise a repeat. */
const REMEMBERED_PATCHES = 10_000;

export interface DocumentFault {
  /** JSON pointer of the place that does not fit. */
  readonly pointer: string;
  readonly detail: string;
}

export type PatchRefusal =
  | { readonly kind: 'stale-base'; readonly baseVersion: number; readonly currentVersion: number }
  | { readonly kind: 'patch-not-applicable'; readonly detail: string }
  | { readonly kind: 'document-invalid'; readonly faults: readonly DocumentFault[] };

export type RecordVerdict =
  | { readonly kind: 'applied'; readonly patchId: string; readonly version: number }
  | { readonly kind: 'repeated'; readonly patchId: string; readonly version: number }
  | { readonly kind: 'refused'; readonly patchId: string; readonly refusal: PatchRefusal }
  | { readonly kind: 'snapshot-adopted'; readonly version: number }
  | { readonly kind: 'snapshot-agrees'; readonly version: number }
  | { readonly kind: 'snapshot-contradicts'; readonly version: number }
  | { readonly kind: 'record-malformed'; readonly detail: string }
  | { readonly kind: 'already-read' };

function pointerOf(path: readonly PropertyKey[]): string {
  return path
    .map((part) => `/${String(part).replaceAll('~', '~0').replaceAll('/', '~1')}`)
    .join('');
}

/** Checks a whole document; the faults name every place that does not fit. */
export function checkDocument(
  candidate: unknown,
): { ok: true; document: ConfigDocument } | { ok: false; faults: DocumentFault[] } {
  const parsed = configDocumentSchema.safeParse(candidate);
  if (parsed.success) return { ok: true, document: parsed.data };
  const faults = parsed.error.issues.map((issue) => ({
    pointer: pointerOf(issue.path),
    detail: issue.message,
  }));
  return { ok: false, faults };
}

/** Applies JSON Patch operations to a copy of the document and checks the result. */
export function patchDocument(
  document: ConfigDocument,
  operations: readonly PatchOperation[],
): { ok: true; document: ConfigDocument } | { ok: false; refusal: PatchRefusal } {
  const candidate: { root: unknown } = { root: structuredClone(document) };
  const rebased = operations.map((operation) => ({
    ...structuredClone(operation),
    path: `/root${operation.path}`,
    ...('from' in operation ? { from: `/root${operation.from}` } : {}),
  }));
  const errors = applyPatch(candidate, rebased);
  const failed = errors.find((error) => error !== null);
  if (failed) {
    return { ok: false, refusal: { kind: 'patch-not-applicable', detail: failed.message } };
  }
  const checked = checkDocument(candidate.root);
  if (checked.ok) return { ok: true, document: checked.document };
  return { ok: false, refusal: { kind: 'document-invalid', faults: checked.faults } };
}

export class ConfigReducer {
  private current: ConfigState;

  private readonly versionOfPatch = new Map<string, number>();

  constructor(initial: ConfigDocument) {
    this.current = { version: 0, offset: -1, document: initial };
  }

  get state(): ConfigState {
    return this.current;
  }

  /** Reduces the record at `offset`. Records at or below the current offset change nothing. */
  reduce(offset: number, payload: unknown): RecordVerdict {
    if (offset <= this.current.offset) return { kind: 'already-read' };
    const parsed = configRecordSchema.safeParse(payload);
    if (!parsed.success) {
      this.current = { ...this.current, offset };
      return { kind: 'record-malformed', detail: parsed.error.message };
    }
    if (parsed.data.kind === 'snapshot') return this.reduceSnapshot(offset, parsed.data);
    return this.reducePatch(offset, parsed.data);
  }

  private reducePatch(offset: number, record: PatchRecord): RecordVerdict {
    const { patchId, baseVersion } = record;
    const { version, document } = this.current;
    this.current = { ...this.current, offset };
    const earlier = this.versionOfPatch.get(patchId);
    if (earlier !== undefined) return { kind: 'repeated', patchId, version: earlier };
    if (baseVersion !== version) {
      const refusal: PatchRefusal = { kind: 'stale-base', baseVersion, currentVersion: version };
      return { kind: 'refused', patchId, refusal };
    }
    const patched = patchDocument(document, record.operations);
    if (!patched.ok) return { kind: 'refused', patchId, refusal: patched.refusal };
    this.current = { version: version + 1, offset, document: patched.document };
    this.remember(patchId, version + 1);
    return { kind: 'applied', patchId, version: version + 1 };
  }

  private reduceSnapshot(offset: number, record: SnapshotRecord): RecordVerdict {
    const { version } = record;
    if (version > this.current.version) {
      this.current = { version, offset, document: record.document };
      this.versionOfPatch.clear();
      record.recentPatchIds.forEach(([patchId, patchVersion]) =>
        this.remember(patchId, patchVersion),
      );
      return { kind: 'snapshot-adopted', version };
    }
    this.current = { ...this.current, offset };
    if (version < this.current.version) return { kind: 'snapshot-agrees', version };
    const same = JSON.stringify(record.document) === JSON.stringify(this.current.document);
    return { kind: same ? 'snapshot-agrees' : 'snapshot-contradicts', version };
  }

  private remember(patchId: string, version: number): void {
    this.versionOfPatch.set(patchId, version);
    if (this.versionOfPatch.size <= REMEMBERED_PATCHES) return;
    const [oldest] = this.versionOfPatch.keys();
    if (oldest !== undefined) this.versionOfPatch.delete(oldest);
  }
}
