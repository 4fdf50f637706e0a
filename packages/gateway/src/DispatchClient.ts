/**
 * The gateway's client for dispatching: sends tickets to the home of the service and reports how
 * grants ended. Links can lose messages and homes can fail, so a ticket is sent again when its
 * home changes, when the home returns it, and when no reply arrives in time. Resending is safe,
 * because a home recognises a ticket by its id.
 */
import { type Clock, Disposable, type EntryId, type HomeMap } from '@acaciadock/core';
import {
  type Grant,
  type GrantEnded,
  type GrantOutcome,
  type PeerNetwork,
  type ReceivedMessage,
  type Ticket,
  type TicketRefused,
} from '@acaciadock/peers';
import { CancelBatch } from './CancelBatch.js';
import { OpenTickets } from './OpenTickets.js';
import { type OpenTicket, type ScheduledResend, type TicketEnd } from './OpenTicket.js';
import { DelayQueue } from './DelayQueue.js';

const TICK_MS = 100;
const DRAIN_POLL_MS = 10;
const MAX_RESENDS_PER_TICK = 2_000;
/** Index 0 applies after a failed send, index n after n sends; the last delay repeats. */
const TICKET_RESEND_WAITS_MS = [200, 2_000, 4_000, 8_000, 15_000];
/** Delays before the first, second and later resends; the last delay repeats. */
const REPORT_RESEND_WAITS_MS = [500, 1_000, 2_000, 5_000];
const MAX_REPORT_AGE_MS = 120_000;
/** How long a received grant is remembered, so that a duplicate of it is not returned unused. */
const SEEN_GRANT_RETENTION_MS = 10_000;

interface OpenReport {
  readonly homeEntryId: EntryId;
  readonly report: GrantEnded;
  readonly madeAtMs: number;
  attempts: number;
}

export class DispatchClient extends Disposable {
  private readonly tickets = new OpenTickets();

  private readonly ticketResends: DelayQueue<ScheduledResend>;

  private readonly reports = new Map<string, OpenReport>();

  private readonly reportResends: DelayQueue<OpenReport>;

  private readonly seenGrants = new Set<string>();

  private readonly seenGrantExpiry: DelayQueue<string>;

  private readonly cancels: CancelBatch;

  constructor(
    private readonly homes: HomeMap,
    private readonly network: PeerNetwork,
    private readonly clock: Clock,
  ) {
    super();
    this.ticketResends = new DelayQueue(TICKET_RESEND_WAITS_MS, clock);
    this.reportResends = new DelayQueue(REPORT_RESEND_WAITS_MS, clock);
    this.seenGrantExpiry = new DelayQueue([SEEN_GRANT_RETENTION_MS], clock);
    this.cancels = new CancelBatch(network);
    this.register(network.onMessage((received) => this.receive(received)));
    this.register(homes.onChange(() => this.resendMovedTickets()));
    this.register(clock.every(TICK_MS, () => this.resend()));
  }

  /** Number of tickets that wait for a grant. */
  get waitingTickets(): number {
    return this.tickets.size;
  }

  /** Number of ended grants that their homes have not acknowledged yet. */
  get openReports(): number {
    return this.reports.size;
  }

  /** Sends a ticket to its home. `settle` is called once, when it is granted or refused. */
  submit(ticket: Ticket, settle: (end: TicketEnd) => void): void {
    const open: OpenTicket = {
      ticket,
      settle,
      homeEntryId: undefined,
      excludedHomes: [],
      attempts: 0,
      resendCount: 0,
    };
    this.tickets.add(open);
    this.send(open);
  }

  /** Cancels a ticket: it is never settled, and a grant that still arrives is returned unused. */
  cancel(ticketId: string): void {
    const open = this.tickets.remove(ticketId);
    if (open?.homeEntryId !== undefined) this.cancels.add(open.homeEntryId, ticketId);
  }

  /** Reports to the home how a grant ended, and repeats the report until it is acknowledged. */
  end(homeEntryId: EntryId, grant: Grant, outcome: GrantOutcome, runMs: number): void {
    const { grantId, serviceId, teamId, targetId, creditUseId, creditHolderEntryId } = grant;
    const report: GrantEnded = {
      kind: 'grant-ended',
      grantId,
      serviceId,
      teamId,
      targetId,
      creditUseId,
      creditHolderEntryId,
      outcome,
      runMs,
    };
    const open: OpenReport = {
      homeEntryId,
      report,
      madeAtMs: this.clock.monotonicMs(),
      attempts: 0,
    };
    this.reports.set(grantId, open);
    this.network.send(homeEntryId, report);
    this.reportResends.add(open, open.attempts);
  }

  /** Resolves when all reports are acknowledged, or after `maxMs` at the latest. */
  async drain(maxMs: number): Promise<void> {
    const untilMs = this.clock.monotonicMs() + maxMs;
    while (this.reports.size > 0 && this.clock.monotonicMs() < untilMs) {
      await this.clock.sleep(DRAIN_POLL_MS);
    }
  }

  private receive({ fromEntryId, message }: ReceivedMessage): void {
    if (message.kind === 'grant') this.settleGrant(fromEntryId, message);
    else if (message.kind === 'ticket-refused') this.settleRefusal(fromEntryId, message);
    else if (message.kind === 'tickets-returned') {
      message.ticketIds.forEach((ticketId) => this.sendToNextHome(fromEntryId, ticketId));
    } else if (message.kind === 'grant-ended-ack') {
      message.grantIds.forEach((grantId) => this.reports.delete(grantId));
    }
  }

  private settleGrant(homeEntryId: EntryId, grant: Grant): void {
    if (this.seenGrants.has(grant.grantId)) return;
    this.seenGrants.add(grant.grantId);
    this.seenGrantExpiry.add(grant.grantId, 0);
    const open = this.tickets.remove(grant.ticketId);
    if (!open) {
      // A second grant for the same ticket, or one that arrived after its cancellation.
      this.end(homeEntryId, grant, 'not-started', 0);
      return;
    }
    const startLeftMs = grant.startByMs - this.clock.unixMs();
    const startByMonotonicMs = this.clock.monotonicMs() + startLeftMs;
    open.settle({ kind: 'granted', grant, homeEntryId, startByMonotonicMs });
  }

  private settleRefusal(homeEntryId: EntryId, refusal: TicketRefused): void {
    const open = this.tickets.get(refusal.ticketId);
    if (!open) return;
    const isHomeUnavailable = refusal.reason === 'fenced' || refusal.reason === 'stopping';
    if (isHomeUnavailable && this.sendToNextHome(homeEntryId, refusal.ticketId)) return;
    this.tickets.remove(refusal.ticketId);
    open.settle({ kind: 'refused', refusal });
  }

  /**
   * Excludes a home that returned or refused the ticket, and sends the ticket to the next one. If
   * every home is excluded, clears the exclusions, schedules a resend and returns false.
   */
  private sendToNextHome(homeEntryId: EntryId, ticketId: string): boolean {
    const open = this.tickets.get(ticketId);
    if (!open) return false;
    open.excludedHomes.push(homeEntryId);
    if (this.nextHomeOf(open) === undefined) {
      open.excludedHomes.length = 0;
      this.scheduleResend(open, 1);
      return false;
    }
    this.send(open);
    return true;
  }

  private nextHomeOf(open: OpenTicket): EntryId | undefined {
    const ranked = this.homes.rankedHomes(open.ticket.serviceId);
    if (open.excludedHomes.length === 0) return ranked[0];
    return ranked.find((entryId) => !open.excludedHomes.includes(entryId));
  }

  private send(open: OpenTicket): void {
    const home = this.nextHomeOf(open);
    const sent = home !== undefined && this.network.send(home, open.ticket);
    Object.assign(open, { homeEntryId: sent ? home : undefined });
    if (sent) Object.assign(open, { attempts: open.attempts + 1 });
    this.scheduleResend(open, sent ? open.attempts : 0);
  }

  private scheduleResend(open: OpenTicket, attempts: number): void {
    Object.assign(open, { resendCount: open.resendCount + 1 });
    this.ticketResends.add({ ticketId: open.ticket.ticketId, plan: open.resendCount }, attempts);
  }

  /** After the homes have changed, resends only the tickets of services whose home is new. */
  private resendMovedTickets(): void {
    this.tickets.services().forEach((serviceId) => {
      const [home] = this.homes.rankedHomes(serviceId);
      this.tickets.ofService(serviceId).forEach((open) => {
        if (open.homeEntryId === home) return;
        Object.assign(open, { excludedHomes: [], attempts: 0 });
        this.send(open);
      });
    });
  }

  private resend(): void {
    this.ticketResends.takeDue(MAX_RESENDS_PER_TICK).forEach(({ ticketId, plan }) => {
      const open = this.tickets.get(ticketId);
      if (open?.resendCount === plan) this.send(open);
    });
    this.seenGrantExpiry
      .takeDue(Number.MAX_SAFE_INTEGER)
      .forEach((grantId) => this.seenGrants.delete(grantId));
    this.reportResends.takeDue(MAX_RESENDS_PER_TICK).forEach((open) => this.resendReport(open));
  }

  /** The home that issued the grant, or its successor if that entry is no longer live. */
  private reportHomeOf({ homeEntryId, report }: OpenReport): EntryId {
    if (this.homes.liveEntries().includes(homeEntryId)) return homeEntryId;
    return this.homes.rankedHomes(report.serviceId)[0] ?? homeEntryId;
  }

  private resendReport(open: OpenReport): void {
    const { grantId } = open.report;
    if (this.reports.get(grantId) !== open) return;
    if (this.clock.monotonicMs() - open.madeAtMs > MAX_REPORT_AGE_MS) {
      // By now the home has freed the grant because its lease expired, or the home is gone.
      this.reports.delete(grantId);
      return;
    }
    Object.assign(open, { attempts: open.attempts + 1 });
    this.network.send(this.reportHomeOf(open), open.report);
    this.reportResends.add(open, open.attempts);
  }
}
