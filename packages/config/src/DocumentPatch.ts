/**
 * Applies JSON Patch (RFC 6902, with the `rfc6902` library) to a document by copy-on-write: only
 * the objects on the path to a changed value are copied; everything else is shared with the
 * original document. The library alone would follow inherited properties. Here every token of a
 * pointer must name an own property, so that no pointer can reach a prototype (prototype
 * pollution).
 */
import { applyPatch, Pointer } from 'rfc6902';
import { type ConfigDocument, type DocumentFault } from './ConfigDocument.js';
import { type PatchOperation } from './ConfigRecord.js';
import { checkTouched, TouchedParts } from './DocumentCheck.js';

/** Maximum nesting of a value in a patch; the document itself nests less than half as deep. */
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

/** A shallow copy. For maps with thousands of keys this is faster than spread syntax. */
function copyOf(container: Container): Container {
  if (Array.isArray(container)) return [...(container as unknown[])] as unknown as Container;
  const copy: Container = {};
  for (const key of Object.keys(container)) copy[key] = container[key];
  return copy;
}

/** Whether a value nests too deeply or has a key that could reach a prototype. */
function isUnsafe(value: unknown, depth = 0): boolean {
  if (!isContainer(value)) return false;
  if (depth > MAX_VALUE_DEPTH) return true;
  return Object.keys(value).some((key) => UNSAFE_NAMES.has(key) || isUnsafe(value[key], depth + 1));
}

/** Applies the operations of one patch to a copy-on-write view of a document. */
class PatchRun {
  readonly root: { document: unknown };

  readonly touched = new TouchedParts();

  /** Containers that this run has copied and so may change in place. */
  private readonly copies = new Set<unknown>();

  constructor(document: ConfigDocument) {
    this.root = { document };
  }

  /** Applies one operation; returns a description of the error, or undefined if there is none. */
  apply(operation: PatchOperation): string | undefined {
    if ('value' in operation && isUnsafe(operation.value)) return 'the value is not acceptable';
    const { op, path } = operation;
    if (!this.copyPath(path, op !== 'add' && op !== 'move' && op !== 'copy')) {
      return `no place for ${op} at ${path}`;
    }
    if ('from' in operation && !this.copyPath(operation.from, true)) {
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

  /**
   * Copies the containers on the path to `path`, unless this run has copied them already. False if
   * a container is missing or a token is unsafe, or if the value must exist and does not.
   */
  private copyPath(path: string, mustExist: boolean): boolean {
    const tokens = ['document', ...PatchRun.tokens(path)];
    if (tokens.some((token) => UNSAFE_NAMES.has(token))) return false;
    let container: Container = this.root;
    for (const token of tokens.slice(0, -1)) {
      const next = this.copyChild(container, token);
      if (!next) return false;
      container = next;
    }
    return !mustExist || Object.hasOwn(container, tokens[tokens.length - 1] ?? '');
  }

  private copyChild(container: Container, token: string): Container | undefined {
    const child = Object.hasOwn(container, token) ? container[token] : undefined;
    if (!isContainer(child)) return undefined;
    if (this.copies.has(child)) return child;
    const copy = copyOf(child);
    this.copies.add(copy);
    // The parent may be changed in place: it is the root of this run or one of its copies.
    Object.assign(container, { [token]: copy });
    return copy;
  }
}

/** Applies the operations to a valid document and validates the result. */
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
