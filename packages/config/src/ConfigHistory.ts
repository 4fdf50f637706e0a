/**
 * A bounded history of recent versions: the changes of each, which are shown to an operator whose
 * patch was stale, and the documents of the newest few, with which snapshots are compared.
 */
import { type ConfigDocument } from './ConfigDocument.js';
import { type PatchOperation, type PatchRecord } from './ConfigRecord.js';

const MAX_CHANGES = 1_000;
const MAX_OPERATIONS = 20_000;
/** Documents share unchanged sections, but each has its own copy of the map that was changed. */
const MAX_DOCUMENTS = 8;

export interface ConfigChange {
  readonly version: number;
  readonly offset: number;
  readonly patchId: string;
  readonly author: string;
  readonly submittedAtMs: number;
  readonly operations: readonly PatchOperation[];
}

export interface ChangesSince {
  /** Oldest first. */
  readonly changes: readonly ConfigChange[];
  /** Whether some of the changes after the requested version are no longer kept. */
  readonly truncated: boolean;
}

interface RetainedDocument {
  readonly version: number;
  /** Offset of the record that created the version. */
  readonly offset: number;
  readonly document: ConfigDocument;
}

export class ConfigHistory {
  private changes: ConfigChange[] = [];

  private operations = 0;

  private documents: RetainedDocument[];

  constructor(initial: ConfigDocument) {
    this.documents = [{ version: 0, offset: -1, document: initial }];
  }

  add(offset: number, version: number, record: PatchRecord, document: ConfigDocument): void {
    const { patchId, author, submittedAtMs, operations } = record;
    this.changes.push({ version, offset, patchId, author, submittedAtMs, operations });
    this.operations += operations.length;
    while (this.changes.length > MAX_CHANGES || this.operations > MAX_OPERATIONS) {
      this.operations -= this.changes.shift()?.operations.length ?? 0;
    }
    this.documents.push({ version, offset, document });
    if (this.documents.length > MAX_DOCUMENTS) this.documents.shift();
  }

  /** Restarts the history at a document that was adopted without the records that led to it. */
  restart(offset: number, version: number, document: ConfigDocument): void {
    this.changes = [];
    this.operations = 0;
    this.documents = [{ version, offset, document }];
  }

  /** The changes after `version`. `currentVersion` is the newest version in force. */
  since(version: number, currentVersion: number): ChangesSince {
    const changes = this.changes.filter((change) => change.version > version);
    return { changes, truncated: changes.length < currentVersion - version };
  }

  /** The version and document that were in force after the record at `offset`, if still kept. */
  at(offset: number): RetainedDocument | undefined {
    return this.documents.findLast((kept) => kept.offset <= offset);
  }
}
