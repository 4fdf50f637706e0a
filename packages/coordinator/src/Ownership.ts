/**
 * One period in which this entry owns the journal: its epoch, its journal writer and the checks of
 * whether it may still extend leases, accept work and answer for it. Each period ends exactly once
 * and its `Ownership` is never reused; a later claim creates a new one.
 */
import { type Clock, Disposable, EventEmitter } from '@acaciadock/core';
import { JournalWriter, type OwnedJournal, type RecordLog } from '@acaciadock/journal';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';

/**
 * Leases are extended only this long after the last acknowledged append was sent, in milliseconds, because
 * only an acknowledged append proves that no other entry has claimed the journal. Together with
 * the length of a lease it covers an outage of the store of 9 s. A successor waits this long, plus
 * a lease, before it gives up the runs of targets that it can't reach.
 */
export const EXTENSION_BOUND_MS = 4_000;

/**
 * A job id that is not in the table is answered as unknown only this long after the last
 * acknowledged append, in milliseconds. An idle owner renews its proof of ownership twice a second.
 */
const PROOF_BOUND_MS = 2_000;

/**
 * No new work is accepted or placed once an append has been without an answer for this many times
 * the time after which its answer is overdue, within the bounds below, in milliseconds.
 */
const STALL_OVERDUE_TIMES = 6;
const MIN_STALL_MS = 1_000;
const MAX_STALL_MS = 1_500;

/** The same for an append that the store rejects, in milliseconds: brief rejections are ridden out. */
const REJECTED_STALL_MS = 300;

/**
 * An owner whose current append has waited less than this, in milliseconds, is not replaced. An
 * append to a slow store takes about half of that.
 */
const STORE_PROMPT_MS = 700;

/**
 * An owner is not replaced while its last acknowledged append is younger than this, in
 * milliseconds. As an owner may be idle, this covers an interval between two proofs of ownership
 * and the wait for the append that renews the proof.
 */
const PROMPT_PROOF_MS = 1_700;

/**
 * An order to an instance is sent only this long after the last acknowledged append was sent, in milliseconds.
 * The membership of an owner that stands still lasts a second from its last renewal, which is 0.3 s old at
 * most, so no other entry owns the journal by then.
 */
const ORDER_PROOF_MS = 700;

/** Key of the owner record; it is the first record that an owner writes in each period. */
export const INCUMBENT_KEY = 'incumbent';

/** Identity of an owner before the one that wrote the record. */
const formerOwnerSchema = z.object({
  entryId: z.string(),
  bootMs: z.number(),
  peerAddress: z.string(),
  epoch: z.number(),
});

export type FormerOwner = Readonly<z.infer<typeof formerOwnerSchema>>;

/** Identity of the owner that wrote the newest records, as stored in the journal. */
const ownerRecordSchema = z.object({
  entryId: z.string(),
  /** Start time of the owner's process, Unix milliseconds. */
  bootMs: z.number(),
  /** `host:port` at which the owner answers other entries. */
  peerAddress: z.string(),
  epoch: z.number(),
  /** An owner before this one may still have been extending leases when this was written. */
  formerMayExtend: z.boolean(),
  /** The owners that may; omitted if there is none, or one of them is unknown. */
  formers: z.array(formerOwnerSchema).optional(),
  /**
   * The longest lease, in milliseconds on the clock of its target, that this owner grants and that an earlier one may
   * have granted whose leases have not certainly expired. Omitted if only the targets bound it: earlier builds
   * grant longer leases to targets that were idle or have begun a new lifetime.
   */
  leaseBoundMs: z.number().nonnegative().optional(),
});

export type OwnerRecord = Readonly<z.infer<typeof ownerRecordSchema>>;

export interface OwnerRecordUnreadable {
  readonly kind: 'owner-record-unreadable';
  readonly detail: string;
}

/** Reads the record of the last owner before the claim `owned`; undefined if there is none. */
export function readOwnerRecord({
  records,
}: OwnedJournal): Result<OwnerRecord | undefined, OwnerRecordUnreadable> {
  const value = records.find(({ key }) => key === INCUMBENT_KEY)?.value;
  if (!value) return ok(undefined);
  try {
    return ok(ownerRecordSchema.parse(JSON.parse(value.toString('utf8'))));
  } catch (cause) {
    return err({ kind: 'owner-record-unreadable', detail: String(cause) });
  }
}

/**
 * If the wall clock advanced this much more than the monotonic clock, in milliseconds, the process
 * was suspended.
 */
const SUSPENSION_MS = 300;

export type OwnershipEnd = 'journal-lost' | 'fenced' | 'shutdown' | 'handover' | 'superseded';

export class Ownership extends Disposable {
  readonly writer: JournalWriter;

  readonly epoch: number;

  private readonly endEmitter = this.register(new EventEmitter<OwnershipEnd>());

  /** Fires once, when this period of ownership ends. */
  readonly onEnd = this.endEmitter.event;

  private ended = false;

  /** Whether the owner record is durable, so that a successor can identify this owner. */
  private isOwnerRecordDurable = false;

  private readonly previousOwnerStoppedEmitter = this.register(new EventEmitter<void>());

  /**
   * Fires once it is certain that no previous owner extends leases any more; never fires if that
   * was already certain at the start.
   */
  readonly onPreviousOwnerStopped = this.previousOwnerStoppedEmitter.event;

  private previousMayExtend: boolean;

  private leaseBoundMs: number | undefined;

  constructor(
    log: RecordLog,
    owned: OwnedJournal,
    private readonly ownerRecord: Omit<OwnerRecord, 'epoch'>,
    private readonly clock: Clock,
  ) {
    super();
    this.previousMayExtend = ownerRecord.formerMayExtend;
    this.leaseBoundMs = ownerRecord.leaseBoundMs;
    this.epoch = owned.epoch;
    this.writer = this.register(new JournalWriter(log, owned, clock));
    this.writer.onLost(() => this.end('journal-lost'));
    this.writeOwnerRecord();
    // This claim fenced every previous owner, so each stops extending leases within the bound.
    if (this.previousMayExtend) {
      this.register(clock.after(EXTENSION_BOUND_MS, () => this.markPreviousOwnerStopped()));
    }
  }

  /** Whether a previous owner may still be extending leases. */
  get formerMayExtend(): boolean {
    return this.previousMayExtend;
  }

  /**
   * Records that no previous owner extends leases any more and updates the owner record, so that a
   * successor need not wait for previous owners either.
   */
  markPreviousOwnerStopped(): void {
    if (!this.previousMayExtend || this.ended) return;
    this.previousMayExtend = false;
    this.writeOwnerRecord();
    this.previousOwnerStoppedEmitter.fire();
  }

  /**
   * Records that all leases of earlier owners have expired, so that a successor need only wait for those of this
   * owner, which are at most `leaseBoundMs` long.
   */
  markInheritedLeasesExpired(leaseBoundMs: number): void {
    if (this.leaseBoundMs === leaseBoundMs || this.ended) return;
    this.leaseBoundMs = leaseBoundMs;
    this.writeOwnerRecord();
  }

  get isActive(): boolean {
    return !this.ended;
  }

  /**
   * Whether the last acknowledged append was sent recently enough to rule out, except for the time since
   * then, that another owner has accepted jobs that are unknown here.
   */
  get isProven(): boolean {
    return this.isProvenWithin(PROOF_BOUND_MS);
  }

  /**
   * Whether the store acknowledges appends fast enough for new work to be accepted and placed, and
   * the ownership is not being released.
   */
  get mayAcceptWork(): boolean {
    return !this.writer.isClosing && this.writer.stalledMs < this.stallLimitMs;
  }

  private get stallLimitMs(): number {
    if (this.writer.isRejected) return REJECTED_STALL_MS;
    const overdueMs = STALL_OVERDUE_TIMES * this.writer.overdueMs;
    return Math.min(Math.max(overdueMs, MIN_STALL_MS), MAX_STALL_MS);
  }

  /**
   * Whether the store acknowledges appends so fast that no other entry needs to take over. The
   * limits are stricter than that of `mayAcceptWork`, and the last proof must be recent, too.
   */
  get isStorePrompt(): boolean {
    return this.writer.stalledMs < STORE_PROMPT_MS && this.isProvenWithin(PROMPT_PROOF_MS);
  }

  /**
   * Whether leases may be extended: not before the owner record is durable, not later than
   * `EXTENSION_BOUND_MS` after the last acknowledged append was sent, and not while the clocks show
   * that the process was suspended since.
   */
  get mayExtendLeases(): boolean {
    return this.isOwnerRecordDurable && this.isProvenWithin(EXTENSION_BOUND_MS);
  }

  /**
   * Whether the last acknowledged append was sent so recently that no other entry owns the journal yet, however
   * late its answer was processed. Instances don't know of a new owner that has sent them no order.
   */
  get mayOrderInstances(): boolean {
    return this.isProvenWithin(ORDER_PROOF_MS);
  }

  private isProvenWithin(boundMs: number): boolean {
    if (this.ended) return false;
    const monotonicElapsedMs = this.clock.monotonicMs() - this.writer.lastDurableMs;
    const wallElapsedMs = this.clock.unixMs() - this.writer.lastDurableUnixMs;
    if (wallElapsedMs - monotonicElapsedMs > SUSPENSION_MS) return false;
    return monotonicElapsedMs < boundMs;
  }

  private writeOwnerRecord(): void {
    const { entryId, bootMs, peerAddress, formers } = this.ownerRecord;
    const commit = this.writer.write(INCUMBENT_KEY, () => {
      // The content of the record, which names the owner.
      const name: OwnerRecord = {
        entryId,
        bootMs,
        peerAddress,
        epoch: this.epoch,
        formerMayExtend: this.previousMayExtend,
        ...(this.previousMayExtend && formers ? { formers } : {}),
        ...(this.leaseBoundMs === undefined ? {} : { leaseBoundMs: this.leaseBoundMs }),
      };
      return Buffer.from(JSON.stringify(name));
    });
    void commit.then((outcome) => {
      this.isOwnerRecordDurable = outcome === 'durable';
    });
  }

  end(reason: OwnershipEnd): void {
    if (this.ended) return;
    this.ended = true;
    this.endEmitter.fire(reason);
    this.dispose();
  }
}
