/**
 * The versions that came into force lately: what each changed, for an operator whose patch was
 * stale, and the documents of the newest, against which a snapshot is compared. Bounded.
 */
import { type ConfigDocument } from './ConfigDocument.js';
import { type PatchOperation, type PatchRecord } from './ConfigRecord.js';

const MOST_CHANGES = 1_000;
const MOST_OPERATIONS = 20_000;
/** Documents share most of their parts, but each holds its own map of the changed section. */
const MOST_DOCUMENTS = 8;

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
  /** Whether older changes after the asked version are no longer kept here. */
  readonly truncated: boolean;
}

interface KeptDocument {
  readonly version: number;
  /** Offset of the record that made the version. */
  readonly offset: number;
  readonly document: ConfigDocument;
}

export class ConfigHistory {
  private changes: ConfigChange[] = [];

  private operations = 0;

  private documents: KeptDocument[];

  constructor(initial: ConfigDocument) {
    this.documents = [{ version: 0, offset: -1, document: initial }];
  }

  add(offset: number, version: number, record: PatchRecord, document: ConfigDocument): void {
    const { patchId, author, submittedAtMs, operations } = record;
    this.changes.push({ version, offset, patchId, author, submittedAtMs, operations });
    this.operations += operations.length;
    while (this.changes.length > MOST_CHANGES || this.operations > MOST_OPERATIONS) {
      this.operations -= this.changes.shift()?.operations.length ?? 0;
    }
    this.documents.push({ version, offset, document });
    if (this.documents.length > MOST_DOCUMENTS) this.documents.shift();
  }

  /** Starts over at a document whose way there is not known. */
  restart(offset: number, version: number, document: ConfigDocument): void {
    this.changes = [];
    this.operations = 0;
    this.documents = [{ version, offset, document }];
  }

  /** What changed after `version`. `currentVersion` is the newest in force. */
  since(version: number, currentVersion: number): ChangesSince {
    const changes = this.changes.filter((change) => change.version > version);
    return { changes, truncated: changes.length < currentVersion - version };
  }

  /** The version and document that were in force after the record at `offset`, if still kept. */
  at(offset: number): KeptDocument | undefined {
    return this.documents.findLast((kept) => kept.offset <= offset);
  }
}
