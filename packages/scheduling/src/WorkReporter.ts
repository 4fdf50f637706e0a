/**
 * Tells the home of a pool which grants of earlier homes this gateway still holds, so that a new
 * home knows what runs on its targets. Follows the grants by the messages that arrive here: a
 * grant opens one, the acknowledgement of its end closes it.
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

  private readonly taken = new Map<EntryId, string[]>();

  /** Homes that the last report went to: each gets one empty report when there is no more. */
  private told: ReadonlySet<EntryId> = new Set();

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
      this.tellTaken(fromEntryId, message.grantId);
    } else if (message.kind === 'grant-ended-ack') {
      message.grantIds.forEach((grantId) => this.held.delete(grantId));
    }
  }

  /** Tells a home that its grants arrived: once for all that came in this turn. */
  private tellTaken(homeEntryId: EntryId, grantId: string): void {
    const pending = this.taken.get(homeEntryId);
    if (pending) {
      pending.push(grantId);
      return;
    }
    const grantIds = [grantId];
    this.taken.set(homeEntryId, grantIds);
    this.clock.after(0, () => {
      this.taken.delete(homeEntryId);
      this.network.send(homeEntryId, { kind: 'grants-taken', grantIds });
    });
  }

  private report(): void {
    const byHome = new Map<EntryId, Grant[]>();
    const nowMs = this.clock.unixMs();
    this.held.forEach(({ grant, grantedBy }, grantId) => {
      if (grant.leaseExpiresAtMs + MAX_CLOCK_SKEW_MS <= nowMs) this.held.delete(grantId);
      else this.assign(byHome, grant, grantedBy);
    });
    this.told.forEach((entryId) => {
      if (!byHome.has(entryId)) byHome.set(entryId, []);
    });
    byHome.forEach((grants, entryId) => {
      this.network.send(entryId, { kind: 'work-report', grants });
    });
    this.told = new Set([...byHome].filter(([, grants]) => grants.length > 0).map(([id]) => id));
  }

  private assign(byHome: Map<EntryId, Grant[]>, grant: Grant, grantedBy: EntryId): void {
    const home = this.homes.rankedHomes(grant.serviceId)[0];
    if (home === undefined || home === grantedBy) return;
    const known = byHome.get(home);
    if (known) known.push(grant);
    else byHome.set(home, [grant]);
  }
}
