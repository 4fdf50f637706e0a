/**
 * Runs on a gateway and reports to the home of a pool which grants from earlier homes the gateway
 * still holds, so that a new home knows which work runs on its targets. A grant is held from the
 * arrival of the grant message until the acknowledgement of its end arrives or its lease expires.
 *
 * Also acknowledges each received grant to its home (`grants-taken`), by which the home recognises
 * that the gateway still responds (`GatewayLiveness`).
 */
import { type Clock, Disposable, type EntryId, type HomeMap } from '@acaciadock/core';
import {
  type Grant,
  MAX_CLOCK_SKEW_MS,
  type PeerNetwork,
  type ReceivedMessage,
} from '@acaciadock/peers';

const REPORT_PERIOD_MS = 1_000;

interface HeldGrant {
  readonly grant: Grant;
  readonly grantedBy: EntryId;
}

export class WorkReporter extends Disposable {
  private readonly held = new Map<string, HeldGrant>();

  private readonly pendingAcks = new Map<EntryId, string[]>();

  /** Homes whose last report was not empty: each gets one empty report once nothing is left. */
  private reportedTo: ReadonlySet<EntryId> = new Set();

  constructor(
    private readonly homes: HomeMap,
    private readonly network: PeerNetwork,
    private readonly clock: Clock,
  ) {
    super();
    this.register(network.onMessage((received) => this.receive(received)));
    this.register(homes.onChange(() => this.report()));
    this.register(clock.every(REPORT_PERIOD_MS, () => this.report()));
  }

  private receive({ fromEntryId, message }: ReceivedMessage): void {
    if (message.kind === 'grant') {
      this.held.set(message.grantId, { grant: message, grantedBy: fromEntryId });
      this.acknowledgeGrant(fromEntryId, message.grantId);
    } else if (message.kind === 'grant-ended-ack') {
      message.grantIds.forEach((grantId) => this.held.delete(grantId));
    }
  }

  /**
   * Acknowledges a grant to its home, in one message for all grants of the same event-loop turn.
   */
  private acknowledgeGrant(homeEntryId: EntryId, grantId: string): void {
    const pending = this.pendingAcks.get(homeEntryId);
    if (pending) {
      pending.push(grantId);
      return;
    }
    const grantIds = [grantId];
    this.pendingAcks.set(homeEntryId, grantIds);
    this.clock.after(0, () => {
      this.pendingAcks.delete(homeEntryId);
      this.network.send(homeEntryId, { kind: 'grants-taken', grantIds });
    });
  }

  private report(): void {
    const byHome = new Map<EntryId, Grant[]>();
    const nowMs = this.clock.unixMs();
    this.held.forEach(({ grant, grantedBy }, grantId) => {
      if (grant.leaseExpiresAtMs + MAX_CLOCK_SKEW_MS <= nowMs) this.held.delete(grantId);
      else this.addToReport(byHome, grant, grantedBy);
    });
    this.reportedTo.forEach((entryId) => {
      if (!byHome.has(entryId)) byHome.set(entryId, []);
    });
    byHome.forEach((grants, entryId) => {
      this.network.send(entryId, { kind: 'work-report', grants });
    });
    this.reportedTo = new Set(
      [...byHome].filter(([, grants]) => grants.length > 0).map(([id]) => id),
    );
  }

  private addToReport(byHome: Map<EntryId, Grant[]>, grant: Grant, grantedBy: EntryId): void {
    const home = this.homes.rankedHomes(grant.serviceId)[0];
    if (home === undefined || home === grantedBy) return;
    const known = byHome.get(home);
    if (known) known.push(grant);
    else byHome.set(home, [grant]);
  }
}
