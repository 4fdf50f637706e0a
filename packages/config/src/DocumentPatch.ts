/**
 * Applies JSON Patch (RFC 6902, by the `rfc6902` library) to a document by copy on write: only
 * the objects on the way to a changed place are copied, everything else is shared with the
 * document before. The library alone would follow names that an object inherits; here every step
 * of a pointer must be the object's own, so that no pointer reaches a prototype.
 */
import { applyPatch, Pointer } from 'rfc6902';
import { type ConfigDocument, type DocumentFault } from './ConfigDocument.js';
import { type PatchOperation } from './ConfigRecord.js';
import { checkTouched, TouchedParts } from './DocumentCheck.js';

/** Deepest nesting of a value in a patch; the document itself needs less than half of it. */
const MAX_VALUE_DEPTH = 16;
const UNSAFE_NAMES = new Set(['__proto__', 'constructor', 'prototype']);

export type PatchFault =
  | { readonly kind: 'patch-not-applicable'; readonly detail: string }
  | { readonly kind: 'document-invalid'; readonly faults: readonly DocumentFault[] };

export type PatchedDocument =
  | { readonly ok: true; readonly document: ConfigDocument }
  | { readonly ok: false; readonly refusal: PatchFault };

type Container = Record<string, unknown>;

function isContainer(value: unknown): value is Container {
  return typeof value === 'object' && value !== null;
}

/** A shallow copy. For maps of thousands of keys this is faster than spreading. */
function copyOf(container: Container): Container {
  if (Array.isArray(container)) return [...(container as unknown[])] as unknown as Container;
  const copy: Container = {};
  for (const key of Object.keys(container)) copy[key] = container[key];
  return copy;
}

/** Whether a value nests too deep or carries a name that could reach a prototype. */
function isUnsafe(value: unknown, depth = 0): boolean {
  if (!isContainer(value)) return false;
  if (depth > MAX_VALUE_DEPTH) return true;
  return Object.keys(value).some((key) => UNSAFE_NAMES.has(key) || isUnsafe(value[key], depth + 1));
}

class PatchRun {
  readonly root: { document: unknown };

  readonly touched = new TouchedParts();

  /** Containers that this run has copied and may change in place. */
  private readonly owned = new Set<unknown>();

  constructor(document: ConfigDocument) {
    this.root = { document };
  }

  /** Applies one operation; returns what is wrong with it, or undefined. */
  apply(operation: PatchOperation): string | undefined {
    if ('value' in operation && isUnsafe(operation.value)) return 'the value is not acceptable';
    const { op, path } = operation;
    if (!this.own(path, op !== 'add' && op !== 'move' && op !== 'copy')) {
      return `no place for ${op} at ${path}`;
    }
    if ('from' in operation && !this.own(operation.from, true)) {
      return `nothing at ${operation.from}`;
    }
    const [error] = applyPatch(this.root, [PatchRun.rebase(operation)]);
    if (error) return error.message;
    if (op !== 'test') this.touched.add(PatchRun.tokens(path));
    if (op === 'move') this.touched.add(PatchRun.tokens(operation.from));
    return undefined;
  }

  private static tokens(path: string): string[] {
    return Pointer.fromJSON(path).tokens.slice(1);
  }

  private static rebase(operation: PatchOperation): PatchOperation {
    const path = `/document${operation.path}`;
    if ('from' in operation) return { ...operation, path, from: `/document${operation.from}` };
    return { ...operation, path };
  }

  /** Makes the containers on the way to `path` this run's own; false if there is no such way. */
  private own(path: string, mustExist: boolean): boolean {
    const tokens = ['document', ...PatchRun.tokens(path)];
    if (tokens.some((token) => UNSAFE_NAMES.has(token))) return false;
    let container: Container = this.root;
    for (const token of tokens.slice(0, -1)) {
      const next = this.ownChild(container, token);
      if (!next) return false;
      container = next;
    }
    return !mustExist || Object.hasOwn(container, tokens[tokens.length - 1] ?? '');
  }

  private ownChild(container: Container, token: string): Container | undefined {
    const child = Object.hasOwn(container, token) ? container[token] : undefined;
    if (!isContainer(child)) return undefined;
    if (this.owned.has(child)) return child;
    const copy = copyOf(child);
    this.owned.add(copy);
    // The parent is the run's root or a copy that the run owns.
    Object.assign(container, { [token]: copy });
    return copy;
  }
}

/** Applies the operations to a valid document and checks the result. */
export function patchDocument(
  document: ConfigDocument,
  operations: readonly PatchOperation[],
): PatchedDocument {
  const run = new PatchRun(document);
  for (const operation of operations) {
    const detail = run.apply(operation);
    if (detail !== undefined) {
      return { ok: false, refusal: { kind: 'patch-not-applicable', detail } };
    }
  }
  const checked = checkTouched(run.root.document as ConfigDocument, run.touched);
  if (checked.ok) return { ok: true, document: checked.document };
  return { ok: false, refusal: { kind: 'document-invalid', faults: checked.faults } };
}
