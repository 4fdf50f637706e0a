/**
 * Seeks the controller's role and keeps it: a claim in the control stream counts if no lease is
 * running by the log's clock, and the holder renews it. Its epoch is the claim's offset.
 */
import { randomUUID } from 'node:crypto';
import { type Clock, Disposable, type EntryId, type Random, toDisposable } from '@acaciadock/core';
import { MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';
import { CONTROL_STREAM, type LogService } from '@acaciadock/platform';
import { type ControlReader, type ReadControlRecord } from './ControlReader.js';
import { LeaseHold } from './LeaseHold.js';

/** Renewals sent in the time of one lease. */
const RENEWALS_PER_LEASE = 3;

export interface RoleOptions {
  readonly entryId: EntryId;
  readonly incarnation: string;
  readonly leaseMs: number;
}

export class RoleKeeper extends Disposable {
  private readonly hold: LeaseHold;

  private nextTryMs = 0;

  private sending = false;

  constructor(
    private readonly options: RoleOptions,
    private readonly log: LogService,
    private readonly reader: ControlReader,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    super();
    this.hold = new LeaseHold(clock);
    this.register(reader.onRecord((read) => this.read(read)));
    this.register(toDisposable(() => this.hold.end()));
  }

  /** The epoch under which this entry may take a step at this very moment; undefined if none. */
  get epoch(): number | undefined {
    const { lease } = this.reader.state;
    if (this.isDisposed || !this.reader.isCaughtUp) return undefined;
    if (lease?.incarnation !== this.options.incarnation) return undefined;
    return this.hold.isValid ? lease.epoch : undefined;
  }

  /** Claims or renews if it is time to; called often. */
  async tick(): Promise<void> {
    if (this.sending || this.isDisposed || !this.reader.isCaughtUp) return;
    if (this.clock.monotonicMs() < this.nextTryMs) return;
    this.sending = true;
    const { lease } = this.reader.state;
    if (lease?.incarnation === this.options.incarnation) await this.renew(lease.epoch);
    else await this.claimIfFree(lease?.expiresAtMs);
    this.sending = false;
  }

  /** Gives the role up, so that a successor need not wait for the lease to lapse. */
  async release(): Promise<void> {
    const { epoch } = this;
    this.hold.end();
    this.nextTryMs = Number.POSITIVE_INFINITY;
    if (epoch === undefined) return;
    await this.log.append(CONTROL_STREAM, [{ kind: 'maintenance-release', epoch }]);
  }

  private async renew(epoch: number): Promise<void> {
    const renewalId = randomUUID();
    this.nextTryMs = this.clock.monotonicMs() + this.options.leaseMs / RENEWALS_PER_LEASE;
    this.hold.sending(renewalId);
    await this.log.append(CONTROL_STREAM, [{ kind: 'maintenance-renewal', renewalId, epoch }]);
  }

  private async claimIfFree(expiresAtMs: number | undefined): Promise<void> {
    // Spread the entries' claims, so that most see another's before they send their own.
    const spreadMs = this.random.next() * (this.options.leaseMs / RENEWALS_PER_LEASE);
    this.nextTryMs = this.clock.monotonicMs() + spreadMs;
    if (this.clock.unixMs() <= (expiresAtMs ?? 0) + MAX_CLOCK_SKEW_MS) return;
    const claimId = randomUUID();
    const { entryId, incarnation, leaseMs } = this.options;
    this.hold.sending(claimId);
    await this.log.append(CONTROL_STREAM, [
      { kind: 'maintenance-claim', claimId, entryId, incarnation, leaseMs },
    ]);
  }

  private read({ verdict }: ReadControlRecord): void {
    if (verdict.kind !== 'accepted') return;
    const { record } = verdict;
    const { lease } = this.reader.state;
    if (lease?.incarnation !== this.options.incarnation) this.hold.end();
    else if (record.kind === 'maintenance-claim') this.hold.accepted(record.claimId, lease.leaseMs);
    else if (record.kind === 'maintenance-renewal') {
      this.hold.accepted(record.renewalId, lease.leaseMs);
    }
  }
}
