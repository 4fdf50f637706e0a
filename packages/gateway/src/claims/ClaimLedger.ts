/**
 * Records claims in the platform's log. Claims and releases that arrive during an append are
 * batched into the next one, and the append rate stays within this entry's share of the budget of
 * the stream. Only its position in the stream decides whether a claim is the first. An append
 * with an unknown result is repeated with the same claim ids: if both took effect, the second
 * copy changes nothing.
 */
import {
  Backoff,
  type Clock,
  Disposable,
  type EntryId,
  type HomeMap,
  type Random,
} from '@acaciadock/core';
import {
  APPEND_BUDGET_PER_SECOND,
  type AppendFailure,
  type AppendReceipt,
  CLAIMS_STREAM,
  type LogService,
} from '@acaciadock/platform';
import { type ClaimRegistry, type ClaimEnd } from './ClaimRegistry.js';
import { ClaimHorizon, type ClaimHorizonOptions, type FirstSentVerdict } from './ClaimHorizon.js';
import { ClaimReader } from './ClaimReader.js';
import { type Claim, type ClaimRecord, type ClaimRelease } from './ClaimRecord.js';
import { ClaimTable, type ClaimVerdict } from './ClaimTable.js';

const MAX_CLAIMS_PER_APPEND = 1_000;
const MAX_WAITING_CLAIMS = 20_000;
const MAX_ABANDONED_CLAIMS = 50_000;
const FORGET_PERIOD_MS = 1_000;
const RETRY = { firstMs: 50, maxMs: 1_000 };
const SECOND_MS = 1_000;

interface WaitingClaim {
  readonly claim: Claim;
  readonly settle: (end: ClaimEnd) => void;
}

export class ClaimLedger extends Disposable implements ClaimRegistry {
  private readonly table = new ClaimTable();

  private readonly reader: ClaimReader;

  private readonly horizon: ClaimHorizon;

  private readonly backoff: Backoff;

  private readonly waiting = new Map<string, WaitingClaim>();

  /** Claims that timed out here and may still take effect in the log. */
  private readonly abandoned = new Set<string>();

  private queuedClaims: Claim[] = [];

  private queuedReleases: ClaimRelease[] = [];

  private isAppending = false;

  private lastAppendAtMs = Number.NEGATIVE_INFINITY;

  private appends = 0;

  constructor(
    private readonly selfEntryId: EntryId,
    private readonly homes: HomeMap,
    private readonly log: LogService,
    private readonly clock: Clock,
    random: Random,
    options: ClaimHorizonOptions,
  ) {
    super();
    this.horizon = new ClaimHorizon(options, clock);
    this.backoff = new Backoff(RETRY, random);
    this.reader = this.register(new ClaimReader(this.table, log, clock, random));
    this.register(this.reader.onVerdict((verdict) => this.settle(verdict)));
    this.register(
      clock.every(FORGET_PERIOD_MS, () => this.table.forget(this.horizon.forgetBeforeMs)),
    );
  }

  get isReady(): boolean {
    return this.reader.isReady;
  }

  /** Number of appends that this entry has made. */
  get appendCount(): number {
    return this.appends;
  }

  /** Number of keys that have a holder. */
  get heldKeys(): number {
    return this.table.size;
  }

  /** Follows the stream until disposed. */
  run(): Promise<void> {
    return this.reader.run();
  }

  classify(firstSentAtMs: number): FirstSentVerdict {
    return this.horizon.classify(firstSentAtMs);
  }

  claim(claim: Claim, untilMs: number): Promise<ClaimEnd> {
    const holder = this.table.holderOf(claim.keyHash);
    if (holder) return Promise.resolve({ kind: 'held', holder });
    if (!this.isReady || this.waiting.size >= MAX_WAITING_CLAIMS) {
      return Promise.resolve({ kind: 'unavailable' });
    }
    return new Promise((resolve) => {
      const leftMs = Math.max(0, untilMs - this.clock.monotonicMs());
      const timer = this.clock.after(leftMs, () => this.giveUp(claim.claimId));
      const settle = (end: ClaimEnd): void => {
        timer.dispose();
        resolve(end);
      };
      this.waiting.set(claim.claimId, { claim, settle });
      this.queuedClaims.push(claim);
      this.startAppending();
    });
  }

  release(release: ClaimRelease): void {
    this.queuedReleases.push(release);
    this.startAppending();
  }

  private giveUp(claimId: string): void {
    const waiting = this.waiting.get(claimId);
    if (!waiting) return;
    this.waiting.delete(claimId);
    this.abandon(claimId);
    waiting.settle({ kind: 'unavailable' });
  }

  private abandon(claimId: string): void {
    this.abandoned.add(claimId);
    if (this.abandoned.size <= MAX_ABANDONED_CLAIMS) return;
    const [oldest] = this.abandoned;
    if (oldest !== undefined) this.abandoned.delete(oldest);
  }

  private settle({ claim, entryId, holder }: ClaimVerdict): void {
    if (entryId !== this.selfEntryId) return;
    const isFirst = holder?.claimId === claim.claimId;
    const waiting = this.waiting.get(claim.claimId);
    if (!waiting) {
      this.releaseAbandoned(claim, isFirst);
      return;
    }
    this.waiting.delete(claim.claimId);
    if (isFirst) waiting.settle({ kind: 'first' });
    else if (holder) waiting.settle({ kind: 'held', holder });
    else waiting.settle({ kind: 'unavailable' });
  }

  /** Releases a claim that took effect after it timed out, since nothing will be sent for it. */
  private releaseAbandoned(claim: Claim, isFirst: boolean): void {
    if (!isFirst || !this.abandoned.delete(claim.claimId)) return;
    this.release({ claimId: claim.claimId, keyHash: claim.keyHash });
  }

  private startAppending(): void {
    if (this.isAppending) return;
    this.isAppending = true;
    void this.appendQueued();
  }

  private async appendQueued(): Promise<void> {
    while (!this.isDisposed && this.queuedClaims.length + this.queuedReleases.length > 0) {
      await this.waitForBudget();
      await this.appendBatch();
    }
    this.isAppending = false;
  }

  /** Waits until the next append is within this entry's share of the budget. */
  private async waitForBudget(): Promise<void> {
    const entries = Math.max(1, this.homes.liveEntries().length);
    const periodMs = (SECOND_MS * entries) / APPEND_BUDGET_PER_SECOND[CLAIMS_STREAM];
    const waitMs = this.lastAppendAtMs + periodMs - this.clock.monotonicMs();
    if (waitMs > 0) await this.clock.sleep(waitMs);
  }

  private async appendBatch(): Promise<void> {
    const claims = this.queuedClaims
      .splice(0, MAX_CLAIMS_PER_APPEND)
      .filter(({ claimId }) => this.waiting.has(claimId));
    const releases = this.queuedReleases.splice(0, MAX_CLAIMS_PER_APPEND);
    if (claims.length + releases.length === 0) return;
    const record: ClaimRecord = {
      kind: 'claims',
      schemaVersion: 1,
      entryId: this.selfEntryId,
      releases,
      claims,
    };
    this.lastAppendAtMs = this.clock.monotonicMs();
    this.appends += 1;
    const receipt = await this.log.append(CLAIMS_STREAM, [record]);
    if (receipt.isOk()) await this.settleAppended(receipt.value, record);
    else await this.requeue(receipt.error, record);
  }

  /**
   * The receipt contains the offset of the record, so once all earlier records are read, it is
   * applied without being fetched.
   */
  private async settleAppended(receipt: AppendReceipt, record: ClaimRecord): Promise<void> {
    this.backoff.reset();
    if (receipt.firstOffset > this.table.nextOffset) await this.reader.readNow();
    const appendedAtMs = this.clock.unixMs();
    this.reader.applyRecords([{ offset: receipt.firstOffset, appendedAtMs, payload: record }]);
  }

  private async requeue(failure: AppendFailure, record: ClaimRecord): Promise<void> {
    if (failure.kind === 'append-unknown') await this.reader.readNow();
    const missing = record.claims.filter(({ claimId }) => this.waiting.has(claimId));
    this.queuedClaims.unshift(...missing);
    this.queuedReleases.unshift(...record.releases);
    await this.clock.sleep(this.backoff.nextMs());
  }
}
