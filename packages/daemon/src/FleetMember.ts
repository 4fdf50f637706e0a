/** Membership of this entry in the fleet: its roster, fence and credits, and its graceful leave. */
import { type Clock, Disposable, type Random } from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import { CreditLedgerRunner } from '@acaciadock/credits';
import {
  ControlStreamReader,
  ControlStreamWriter,
  EntryFence,
  Membership,
} from '@acaciadock/membership';
import { type PeerNetwork } from '@acaciadock/peers';
import { type InstanceDirectory, type LogService } from '@acaciadock/platform';
import { type Settings } from './Settings.js';

/** The snapshot period of the control stream is the log retention divided by this. */
const SNAPSHOTS_PER_RETENTION = 24;
const HAND_OVER_TIMEOUT_MS = 1_000;
const LEAVE_TIMEOUT_MS = 2_000;
const LEAVE_RETRY_MS = 500;
const LEAVE_POLL_MS = 20;

export interface FleetMemberServices {
  readonly log: LogService;
  readonly directory: InstanceDirectory;
  readonly config: ConfigView;
  readonly network: PeerNetwork;
}

export class FleetMember extends Disposable {
  readonly membership: Membership;

  readonly fence: EntryFence;

  readonly credits: CreditLedgerRunner;

  private readonly reader: ControlStreamReader;

  constructor(
    settings: Settings,
    services: FleetMemberServices,
    private readonly clock: Clock,
    random: Random,
  ) {
    super();
    const { entryId, zoneId } = settings;
    const { log, directory, config, network } = services;
    const writer = this.register(new ControlStreamWriter(log, clock));
    const reader = this.register(new ControlStreamReader(log, clock, random));
    const membership = this.register(
      new Membership({ entryId, zoneId }, { network, reader, writer, directory, config }, clock),
    );
    const fence = this.register(new EntryFence((nowMs) => membership.fenceReason(nowMs), clock));
    const snapshotPeriodMs = settings.platform.logRetentionMs / SNAPSHOTS_PER_RETENTION;
    const ledger = { config, network, reader, writer, membership, fence };
    this.credits = this.register(new CreditLedgerRunner(entryId, ledger, clock, snapshotPeriodMs));
    this.membership = membership;
    this.fence = fence;
    this.reader = reader;
  }

  /** Joins the roster with `address`, at which peers reach this entry. */
  start(address: string): void {
    void this.reader.run();
    this.membership.start(address);
  }

  /** Stops being a home. Work that is already running continues. */
  beginStop(): void {
    this.membership.beginStop();
  }

  /**
   * Transfers the credits to the other entries and leaves the roster. If work may still be running
   * on some credits, the others redistribute those after the leases of that work have expired. If
   * the log is unavailable, no leave record is appended and the entry is evicted later.
   */
  async leave(): Promise<void> {
    const idle = await this.credits.handOver(HAND_OVER_TIMEOUT_MS);
    const untilMs = this.clock.monotonicMs() + LEAVE_TIMEOUT_MS;
    let nextAttemptMs = this.clock.monotonicMs();
    while (this.membership.isActive && this.clock.monotonicMs() < untilMs) {
      if (this.clock.monotonicMs() >= nextAttemptMs) {
        this.membership.leave(idle);
        nextAttemptMs += LEAVE_RETRY_MS;
      }
      await this.clock.sleep(LEAVE_POLL_MS);
    }
  }
}
