/**
 * Claims in the platform's log. Claims and releases that come while an append is under way travel
 * together in the next one, and appends keep to this entry's part of the stream's budget. A claim
 * is settled only by its place in the stream. An append whose answer was lost is made again with
 * the same claim ids: if both took effect, the second copy changes nothing.
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
import { type ClaimBook, type ClaimEnd } from './ClaimBook.js';
import { ClaimHorizon, type ClaimHorizonOptions, type StampVerdict } from './ClaimHorizon.js';
import { ClaimReader } from './ClaimReader.js';
import { type Claim, type ClaimRecord, type ClaimRelease } from './ClaimRecord.js';
import { ClaimTable, type ClaimVerdict } from './ClaimTable.js';

const MOST_CLAIMS_PER_APPEND = 1_000;
const MOST_WAITING_CLAIMS = 20_000;
const MOST_ABANDONED_CLAIMS = 50_000;
const FORGET_PERIOD_MS = 1_000;
const RETRY = { firstMs: 50, mostMs: 1_000 };
const SECOND_MS = 1_000;

interface WaitingClaim {
  readonly claim: Claim;
  readonly settle: (end: ClaimEnd) => void;
}

export class ClaimLedger extends Disposable implements ClaimBook {
  private readonly table = new ClaimTable();

  private readonly reader: ClaimReader;

  private readonly horizon: ClaimHorizon;

  private readonly backoff: Backoff;

  private readonly waiting = new Map<string, WaitingClaim>();

  /** Claims that were given up and may still take effect. */
  private readonly abandoned = new Set<string>();

  private toClaim: Claim[] = [];

  private toRelease: ClaimRelease[] = [];

  private pumping = false;

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

  /** Appends that this entry made so far. */
  get appendCount(): number {
    return this.appends;
  }

  /** Keys that have a holder. */
  get heldKeys(): number {
    return this.table.size;
  }

  /** Follows the stream until disposed. */
  run(): Promise<void> {
    return this.reader.run();
  }

  judge(stampMs: number): StampVerdict {
    return this.horizon.judge(stampMs);
  }

  claim(claim: Claim, untilMs: number): Promise<ClaimEnd> {
    const holder = this.table.holderOf(claim.keyHash);
    if (holder) return Promise.resolve({ kind: 'held', holder });
    if (!this.isReady || this.waiting.size >= MOST_WAITING_CLAIMS) {
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
      this.toClaim.push(claim);
      this.pump();
    });
  }

  release(release: ClaimRelease): void {
    this.toRelease.push(release);
    this.pump();
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
    if (this.abandoned.size <= MOST_ABANDONED_CLAIMS) return;
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

  /** A claim that was given up took effect late: nothing will be sent for it. */
  private releaseAbandoned(claim: Claim, isFirst: boolean): void {
    if (!isFirst || !this.abandoned.delete(claim.claimId)) return;
    this.release({ claimId: claim.claimId, keyHash: claim.keyHash });
  }

  private pump(): void {
    if (this.pumping) return;
    this.pumping = true;
    void this.pumpAll();
  }

  private async pumpAll(): Promise<void> {
    while (!this.isDisposed && this.toClaim.length + this.toRelease.length > 0) {
      await this.keepToBudget();
      await this.appendBatch();
    }
    this.pumping = false;
  }

  /** Waits until the next append fits this entry's part of the budget. */
  private async keepToBudget(): Promise<void> {
    const entries = Math.max(1, this.homes.liveEntries().length);
    const periodMs = (SECOND_MS * entries) / APPEND_BUDGET_PER_SECOND[CLAIMS_STREAM];
    const waitMs = this.lastAppendAtMs + periodMs - this.clock.monotonicMs();
    if (waitMs > 0) await this.clock.sleep(waitMs);
  }

  private async appendBatch(): Promise<void> {
    const claims = this.toClaim
      .splice(0, MOST_CLAIMS_PER_APPEND)
      .filter(({ claimId }) => this.waiting.has(claimId));
    const releases = this.toRelease.splice(0, MOST_CLAIMS_PER_APPEND);
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
    if (receipt.isOk()) await this.settleBy(receipt.value, record);
    else await this.retry(receipt.error, record);
  }

  /** The receipt names the record's place; with all before it read, nothing need be fetched. */
  private async settleBy(receipt: AppendReceipt, record: ClaimRecord): Promise<void> {
    this.backoff.reset();
    if (receipt.firstOffset > this.table.nextOffset) await this.reader.readNow();
    const appendedAtMs = this.clock.unixMs();
    this.reader.take([{ offset: receipt.firstOffset, appendedAtMs, payload: record }]);
  }

  private async retry(failure: AppendFailure, record: ClaimRecord): Promise<void> {
    if (failure.kind === 'append-unknown') await this.reader.readNow();
    const missing = record.claims.filter(({ claimId }) => this.waiting.has(claimId));
    this.toClaim.unshift(...missing);
    this.toRelease.unshift(...record.releases);
    await this.clock.sleep(this.backoff.nextMs());
  }
}
