/**
 * Finds the newest usable snapshot by reading the log backwards, page by page, so that starting an
 * entry requires only the records since the last snapshot and not all that are retained.
 */
import { type SnapshotRecord, snapshotRecordSchema } from '@acaciadock/config';
import {
  CONFIG_STREAM,
  type LogRecord,
  type LogService,
  type ReadFailure,
} from '@acaciadock/platform';
import { err, ok, type Result } from 'neverthrow';

const PAGE_RECORDS = 1_000;

export type SearchResult =
  | { readonly kind: 'found'; readonly snapshot: SnapshotRecord }
  /** No records are missing, and there is no snapshot or too little left to read to need one. */
  | { readonly kind: 'read-on' }
  /** Records are missing and no retained snapshot bridges the gap. */
  | { readonly kind: 'none'; readonly firstOffset: number };

interface Bounds {
  /** Oldest offset to search: the reader's next offset, or the oldest offset that is retained. */
  readonly firstOffset: number;
  readonly endOffset: number;
  /** Whether records between the reader's next offset and `firstOffset` have expired. */
  readonly missing: boolean;
}

function isSnapshot(payload: unknown): boolean {
  if (typeof payload !== 'object' || payload === null) return false;
  return 'kind' in payload && payload.kind === 'snapshot';
}

/** The newest snapshot of a page that is usable: no record after those it includes has expired. */
function newestUsableSnapshot(
  records: readonly LogRecord[],
  bounds: Bounds,
): SnapshotRecord | undefined {
  for (const { payload } of [...records].reverse()) {
    if (!isSnapshot(payload)) continue;
    const snapshot = snapshotRecordSchema.safeParse(payload);
    if (snapshot.success && snapshot.data.includedOffset + 1 >= bounds.firstOffset) {
      return snapshot.data;
    }
  }
  return undefined;
}

export class SnapshotSearch {
  constructor(private readonly log: LogService) {}

  /** Searches for a snapshot that is ahead of a reader whose next offset is `nextOffset`. */
  async find(nextOffset: number): Promise<Result<SearchResult, ReadFailure>> {
    const found = await this.bounds(nextOffset);
    if (found.isErr()) return err(found.error);
    const bounds = found.value;
    if (!bounds.missing && bounds.endOffset - nextOffset <= PAGE_RECORDS) {
      return ok({ kind: 'read-on' });
    }
    let until = bounds.endOffset;
    while (until > bounds.firstOffset) {
      const from = Math.max(bounds.firstOffset, until - PAGE_RECORDS);
      const records = await this.readRange(from, until);
      if (records.isErr()) return err(records.error);
      const snapshot = newestUsableSnapshot(records.value, bounds);
      if (snapshot) return ok({ kind: 'found', snapshot });
      until = from;
    }
    if (bounds.missing) return ok({ kind: 'none', firstOffset: bounds.firstOffset });
    return ok({ kind: 'read-on' });
  }

  private async bounds(nextOffset: number): Promise<Result<Bounds, ReadFailure>> {
    const page = await this.readPage(nextOffset, 1);
    if (page.isOk()) {
      return ok({ firstOffset: nextOffset, endOffset: page.value.endOffset, missing: false });
    }
    if (page.error.kind !== 'offset-expired') return err(page.error);
    const { firstOffset } = page.error;
    const oldest = await this.readPage(firstOffset, 1);
    if (oldest.isErr()) return err(oldest.error);
    return ok({ firstOffset, endOffset: oldest.value.endOffset, missing: true });
  }

  private async readRange(
    from: number,
    until: number,
  ): Promise<Result<readonly LogRecord[], ReadFailure>> {
    const records: LogRecord[] = [];
    let next = from;
    while (next < until) {
      const page = await this.readPage(next, until - next);
      if (page.isErr()) return err(page.error);
      if (page.value.records.length === 0) break;
      records.push(...page.value.records);
      next = page.value.nextOffset;
    }
    return ok(records);
  }

  private readPage(fromOffset: number, maxRecords: number) {
    return this.log.read({ stream: CONFIG_STREAM, fromOffset, maxRecords, waitMs: 0 });
  }
}
