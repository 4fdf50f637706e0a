/**
 * Runs the credit ledger of this entry: feeds it log records, peer messages and configured limits,
 * sends the messages and appends the records that it produces, and serves as the dispatcher's
 * credit source. No credit can be acquired while the entry is fenced.
 */
import {
  type Clock,
  type CreditSource,
  type CreditUse,
  Disposable,
  type EntryId,
  EventEmitter,
  type Fence,
  type TeamId,
} from '@acaciadock/core';
import { type ConfigState, type ConfigView } from '@acaciadock/config';
import {
  type ControlSnapshot,
  type ControlStreamReader,
  type ControlStreamWriter,
  kindOf,
  type Membership,
} from '@acaciadock/membership';
import { type PeerNetwork, type ReceivedMessage } from '@acaciadock/peers';
import { type LogRecord } from '@acaciadock/platform';
import { CreditLedger } from './CreditLedger.js';
import { creditSnapshotSchema } from './CreditRecords.js';
import { type TeamCredits, teamCreditsOf } from './TeamCredits.js';

const FLUSH_PERIOD_MS = 50;
const SNAPSHOT_STAGGER_MS = 15_000;
const SNAPSHOT_CHECK_MS = 5_000;
const HAND_OVER_POLL_MS = 20;

export interface CreditLedgerServices {
  readonly config: ConfigView;
  readonly network: PeerNetwork;
  readonly reader: ControlStreamReader;
  readonly writer: ControlStreamWriter;
  readonly membership: Membership;
  readonly fence: Fence;
}

export class CreditLedgerRunner extends Disposable implements CreditSource {
  private readonly availableEmitter = this.register(new EventEmitter<TeamId>());

  readonly onAvailable = this.availableEmitter.event;

  private ledger: CreditLedger;

  private flushScheduled = false;

  private snapshotSeenAtMs: number;

  constructor(
    private readonly entryId: EntryId,
    private readonly services: CreditLedgerServices,
    private readonly clock: Clock,
    /**
     * A snapshot is written when none has been seen for this long. Must be much shorter than the
     * log's retention.
     */
    private readonly snapshotPeriodMs: number,
  ) {
    super();
    const { config, network, reader, membership } = services;
    this.ledger = new CreditLedger(entryId, membership.memberId);
    this.snapshotSeenAtMs = clock.monotonicMs();
    this.setLimits(config.state());
    this.register(config.onChange((state) => this.setLimits(state)));
    this.register(network.onMessage((received) => this.receive(received)));
    this.register(reader.onRecord((record) => this.handleRecord(record)));
    this.register(reader.onSnapshot((snapshot) => this.load(snapshot)));
    this.register(membership.onIdentity(() => this.replaceLedger()));
    this.register(clock.every(FLUSH_PERIOD_MS, () => this.flush()));
    this.register(clock.every(SNAPSHOT_CHECK_MS, () => this.publishSnapshot()));
  }

  tryAcquire(teamId: TeamId): CreditUse | undefined {
    // Read the clock before checking the fence: a pause after the check must not postpone start-by.
    const acquiredAtMs = this.clock.unixMs();
    if (this.services.fence.reason()) return undefined;
    return this.ledger.tryAcquire(teamId, acquiredAtMs);
  }

  release(useId: string): void {
    this.ledger.release(useId, this.clock.monotonicMs());
    this.scheduleFlush();
  }

  reportDemand(teamId: TeamId, count: number): void {
    this.ledger.setDemand(teamId, count, this.clock.monotonicMs());
    this.scheduleFlush();
  }

  /** Each team's credits as known to this entry. */
  credits(): readonly TeamCredits[] {
    return teamCreditsOf(this.ledger);
  }

  /**
   * Transfers all free credits to the other members, and waits up to `timeoutMs` until no work
   * runs on this entry's credits and the others have acknowledged the transfers. Resolves to true
   * if no work runs on this entry's credits.
   */
  async handOver(timeoutMs: number): Promise<boolean> {
    const untilMs = this.clock.monotonicMs() + timeoutMs;
    this.ledger.handOver();
    this.flush();
    while (!this.ledger.isHandedOver && this.clock.monotonicMs() < untilMs) {
      await this.clock.sleep(HAND_OVER_POLL_MS);
    }
    return !this.ledger.hasRunning;
  }

  private setLimits({ version, document }: ConfigState): void {
    const limits = Object.entries(document.teams).map(([id, { limit }]) => [id, limit] as const);
    const leasesMs = Object.values(document.services).map(({ taskLeaseMs }) => taskLeaseMs);
    this.ledger.setLimits({
      configVersion: version,
      limits: new Map(limits),
      longestLeaseMs: Math.max(0, ...leasesMs),
    });
  }

  private receive({ fromEntryId, message }: ReceivedMessage): void {
    const nowMs = this.clock.monotonicMs();
    if (message.kind === 'credit-demand') this.ledger.handleDemand(fromEntryId, message, nowMs);
    else if (message.kind === 'credit-transfer') {
      this.ledger.handleTransfer(fromEntryId, message, nowMs);
    } else if (message.kind === 'credit-receipt') this.ledger.handleReceipt(fromEntryId, message);
    else return;
    this.scheduleFlush();
  }

  private handleRecord(record: LogRecord): void {
    if (kindOf(record.payload) === 'control-snapshot')
      this.snapshotSeenAtMs = this.clock.monotonicMs();
    this.ledger.applyRecord(record, this.clock.monotonicMs());
    this.scheduleFlush();
  }

  private load({ includedOffset, credits }: ControlSnapshot): void {
    const snapshot = creditSnapshotSchema.safeParse(credits);
    if (!snapshot.success) return;
    this.ledger.load(includedOffset, snapshot.data, this.clock.monotonicMs());
  }

  /**
   * This entry was evicted and rejoins under a new member id, which holds no credits yet. Running
   * work keeps the credits of the previous member. They are redistributed after the final balances
   * with that member, so releasing them has no effect on the new ledger.
   */
  private replaceLedger(): void {
    const previousLedger = this.ledger;
    this.ledger = new CreditLedger(this.entryId, this.services.membership.memberId);
    this.ledger.load(
      previousLedger.book.lastOffset,
      previousLedger.book.toSnapshot(),
      this.clock.monotonicMs(),
    );
    this.setLimits(this.services.config.state());
  }

  /** Coalesces all changes of one event-loop turn into a single flush. */
  private scheduleFlush(): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    setImmediate(() => {
      this.flushScheduled = false;
      if (!this.isDisposed) this.flush();
    });
  }

  private flush(): void {
    const { network, writer, membership } = this.services;
    const live = new Set(membership.liveEntries());
    const { messages, records } = this.ledger.flush(live, this.clock.monotonicMs());
    messages.forEach(({ toEntryId, message }) => network.send(toEntryId, message));
    records.forEach((record) => writer.append(record));
    this.ledger.takeAvailable().forEach((teamId) => this.availableEmitter.fire(teamId));
  }

  /**
   * Writes a snapshot if none was seen recently. Members wait longer the higher their rank, so that
   * usually only one writes it and the others see that snapshot before they are due.
   */
  private publishSnapshot(): void {
    const { membership, writer } = this.services;
    const rank = [...membership.liveEntries()].sort().indexOf(this.entryId);
    if (rank < 0 || !membership.isActive) return;
    const dueMs = this.snapshotSeenAtMs + this.snapshotPeriodMs + rank * SNAPSHOT_STAGGER_MS;
    if (this.clock.monotonicMs() < dueMs) return;
    this.snapshotSeenAtMs = this.clock.monotonicMs();
    const { book } = this.ledger;
    const credits = book.toSnapshot();
    writer.append({
      kind: 'control-snapshot',
      includedOffset: book.lastOffset,
      roster: credits.roster,
      credits,
    });
  }
}
