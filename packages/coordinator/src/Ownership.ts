/**
 * One period in which this entry owns the journal: its epoch, its writer and whether orders may
 * still leave. The period ends once; nothing of it is used again.
 */
import { type Clock, Disposable, EventEmitter } from '@acaciadock/core';
import { JournalWriter, type OwnedJournal, type RecordLog } from '@acaciadock/journal';

/**
 * Leases are extended only this long after the last acknowledged append, in milliseconds: only
 * that proves that nobody else has claimed. With a lease it outlasts an outage of the store of 9 s. A successor waits this long, plus a lease, for targets that it can't reach.
 */
export const EXTENSION_BOUND_MS = 4_000;

/**
 * A job that is not known here may be called unknown this long after the last acknowledged append,
 * in milliseconds: an idle owner proves itself twice a second.
 */
const PROOF_BOUND_MS = 2_000;

/** An append that takes longer than this means the store can't be counted on, in milliseconds. */
const STORE_STALL_MS = 1_000;

/** Below this wait for an append an owner is not replaced, in milliseconds: a slow store takes half. */
const STORE_PROMPT_MS = 700;

/** The same for the last acknowledgement of an owner that may be idle: a proof and its wait. */
const PROMPT_PROOF_MS = 1_700;

/** The record in which each owner names itself, before anything else of its period. */
export const INCUMBENT_KEY = 'incumbent';

/** The owner whose period wrote the newest records. */
export interface Incumbent {
  readonly entryId: string;
  /** Start of its process, Unix milliseconds. */
  readonly bootMs: number;
  /** `host:port` where it answers other entries. */
  readonly peerAddress: string;
  readonly epoch: number;
  /** An owner before it may still have been extending leases when this was written. */
  readonly formerMayExtend: boolean;
}

/** The owner before the claim that `owned` stands for, as far as it has written anything. */
export function incumbentOf({ records }: OwnedJournal): Incumbent | undefined {
  const value = records.find(({ key }) => key === INCUMBENT_KEY)?.value;
  return value ? (JSON.parse(value.toString('utf8')) as Incumbent) : undefined;
}

/** A wall clock that ran ahead of the steady one by this much means a suspension. */
const SUSPENSION_MS = 300;

export type OwnershipEnd = 'journal-lost' | 'fenced' | 'shutdown' | 'handover' | 'superseded';

export class Ownership extends Disposable {
  readonly writer: JournalWriter;

  readonly epoch: number;

  private readonly endEmitter = this.register(new EventEmitter<OwnershipEnd>());

  /** Fires once when the period ends. */
  readonly onEnd = this.endEmitter.event;

  private ended = false;

  /** Whether a successor would find out whose period this is. */
  private isNamed = false;

  private readonly formerEmitter = this.register(new EventEmitter<void>());

  /** Fires once no earlier owner extends leases any more, if one might have at first. */
  readonly onFormerStopped = this.formerEmitter.event;

  private formerExtends: boolean;

  constructor(
    log: RecordLog,
    owned: OwnedJournal,
    private readonly holder: Omit<Incumbent, 'epoch'>,
    private readonly clock: Clock,
  ) {
    super();
    this.formerExtends = holder.formerMayExtend;
    this.epoch = owned.epoch;
    this.writer = this.register(new JournalWriter(log, owned, clock));
    this.writer.onLost(() => this.end('journal-lost'));
    this.writeName();
    // This claim fenced every earlier owner, so from then on its bound runs out.
    if (this.formerExtends) {
      this.register(clock.after(EXTENSION_BOUND_MS, () => this.noteFormerStopped()));
    }
  }

  /** Whether an earlier owner may still be extending leases. */
  get formerMayExtend(): boolean {
    return this.formerExtends;
  }

  /** Takes up that no earlier owner extends leases any more, and lets a successor know. */
  noteFormerStopped(): void {
    if (!this.formerExtends || this.ended) return;
    this.formerExtends = false;
    this.writeName();
    this.formerEmitter.fire();
  }

  get isActive(): boolean {
    return !this.ended;
  }

  /** Whether nobody else can have accepted work that is unknown here, but for the last moment. */
  get isProven(): boolean {
    return this.isProvenWithin(PROOF_BOUND_MS);
  }

  /** Whether the store acknowledges promptly enough to accept work. */
  get isStoreResponsive(): boolean {
    return this.writer.stalledMs < STORE_STALL_MS;
  }

  /** Whether the store acknowledges so promptly that nobody else needs to take over. */
  get isStorePrompt(): boolean {
    return this.writer.stalledMs < STORE_PROMPT_MS && this.isProvenWithin(PROMPT_PROOF_MS);
  }

  /**
   * Whether leases may be extended: not before a successor would know of this period, not long
   * after the last proof of it, and not right after a suspension.
   */
  get mayExtendLeases(): boolean {
    return this.isNamed && this.isProvenWithin(EXTENSION_BOUND_MS);
  }

  private isProvenWithin(boundMs: number): boolean {
    if (this.ended) return false;
    const steadyMs = this.clock.monotonicMs() - this.writer.lastDurableMs;
    const wallMs = this.clock.unixMs() - this.writer.lastDurableUnixMs;
    if (wallMs - steadyMs > SUSPENSION_MS) return false;
    return steadyMs < boundMs;
  }

  private writeName(): void {
    const { entryId, bootMs, peerAddress } = this.holder;
    const named = this.writer.write(INCUMBENT_KEY, () => {
      const name: Incumbent = {
        entryId,
        bootMs,
        peerAddress,
        epoch: this.epoch,
        formerMayExtend: this.formerExtends,
      };
      return Buffer.from(JSON.stringify(name));
    });
    void named.then((outcome) => {
      this.isNamed = outcome === 'durable';
    });
  }

  end(reason: OwnershipEnd): void {
    if (this.ended) return;
    this.ended = true;
    this.endEmitter.fire(reason);
    this.dispose();
  }
}
