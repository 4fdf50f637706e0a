/**
 * Acquires and renews the lease of the controller role. A claim in the control stream is accepted
 * if no lease is valid by the log's clock. The offset of the accepted claim is the epoch of the
 * term, which fences the records of previous holders.
 */
import { randomUUID } from 'node:crypto';
import { type Clock, Disposable, type EntryId, type Random, toDisposable } from '@acaciadock/core';
import { MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';
import { CONTROL_STREAM, type LogService } from '@acaciadock/platform';
import { type ControlReader, type ReadControlRecord } from './ControlReader.js';
import { HeldLease } from './HeldLease.js';

/** Renewals sent per lease duration. */
const RENEWALS_PER_LEASE = 3;

export interface RoleOptions {
  readonly entryId: EntryId;
  readonly incarnation: string;
  readonly leaseMs: number;
}

export class ControllerRole extends Disposable {
  private readonly heldLease: HeldLease;

  private nextAttemptMs = 0;

  private sending = false;

  constructor(
    private readonly options: RoleOptions,
    private readonly log: LogService,
    private readonly reader: ControlReader,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    super();
    this.heldLease = new HeldLease(clock);
    this.register(reader.onRecord((read) => this.handleRecord(read)));
    this.register(toDisposable(() => this.heldLease.end()));
  }

  /** Epoch under which this entry may act right now; undefined if it does not hold the role. */
  get epoch(): number | undefined {
    const { lease } = this.reader.state;
    if (this.isDisposed || !this.reader.isCaughtUp) return undefined;
    if (lease?.incarnation !== this.options.incarnation) return undefined;
    return this.heldLease.isValid ? lease.epoch : undefined;
  }

  /** Sends a claim or renewal when one is due; called on every tick of the controller. */
  async tick(): Promise<void> {
    if (this.sending || this.isDisposed || !this.reader.isCaughtUp) return;
    if (this.clock.monotonicMs() < this.nextAttemptMs) return;
    this.sending = true;
    const { lease } = this.reader.state;
    if (lease?.incarnation === this.options.incarnation) await this.renew(lease.epoch);
    else await this.claimIfFree(lease?.expiresAtMs);
    this.sending = false;
  }

  /** Releases the role, so that the next holder need not wait for the lease to expire. */
  async release(): Promise<void> {
    const { epoch } = this;
    this.heldLease.end();
    this.nextAttemptMs = Number.POSITIVE_INFINITY;
    if (epoch === undefined) return;
    await this.log.append(CONTROL_STREAM, [{ kind: 'maintenance-release', epoch }]);
  }

  private async renew(epoch: number): Promise<void> {
    const renewalId = randomUUID();
    this.nextAttemptMs = this.clock.monotonicMs() + this.options.leaseMs / RENEWALS_PER_LEASE;
    this.heldLease.recordSend(renewalId);
    await this.log.append(CONTROL_STREAM, [{ kind: 'maintenance-renewal', renewalId, epoch }]);
  }

  private async claimIfFree(expiresAtMs: number | undefined): Promise<void> {
    // The next attempt follows after a random delay, so that the entries do not all claim at the
    // same time once a lease has expired.
    const spreadMs = this.random.next() * (this.options.leaseMs / RENEWALS_PER_LEASE);
    this.nextAttemptMs = this.clock.monotonicMs() + spreadMs;
    if (this.clock.unixMs() <= (expiresAtMs ?? 0) + MAX_CLOCK_SKEW_MS) return;
    const claimId = randomUUID();
    const { entryId, incarnation, leaseMs } = this.options;
    this.heldLease.recordSend(claimId);
    await this.log.append(CONTROL_STREAM, [
      { kind: 'maintenance-claim', claimId, entryId, incarnation, leaseMs },
    ]);
  }

  private handleRecord({ verdict }: ReadControlRecord): void {
    if (verdict.kind !== 'accepted') return;
    const { record } = verdict;
    const { lease } = this.reader.state;
    if (lease?.incarnation !== this.options.incarnation) this.heldLease.end();
    else if (record.kind === 'maintenance-claim')
      this.heldLease.accepted(record.claimId, lease.leaseMs);
    else if (record.kind === 'maintenance-renewal') {
      this.heldLease.accepted(record.renewalId, lease.leaseMs);
    }
  }
}
