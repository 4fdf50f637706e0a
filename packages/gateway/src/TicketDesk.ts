/**
 * The gateway's side of dispatching: sends tickets to the home of the service and reports how
 * grants ended. A link can lose messages and a home can die, so a ticket is sent again when its
 * home changes, when the home returns it, and after silence; a home takes a ticket that it knows
 * as the same one.
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
import { type OpenTicket, type TicketEnd } from './OpenTicket.js';
import { ResendSchedule } from './ResendSchedule.js';

const TICK_MS = 100;
const DRAIN_POLL_MS = 10;
const MOST_RESENDS_PER_TICK = 2_000;
const TICKET_WAITS_MS = [200, 2_000, 4_000, 8_000, 15_000];
const REPORT_WAITS_MS = [500, 1_000, 2_000, 5_000];
const REPORT_LIFE_MS = 120_000;
/** How long a grant that was taken is remembered, so that a copy of it is not returned unused. */
const GRANT_MEMORY_MS = 10_000;

interface OpenReport {
  readonly homeEntryId: EntryId;
  readonly report: GrantEnded;
  readonly madeAtMs: number;
  tries: number;
}

export class TicketDesk extends Disposable {
  private readonly tickets = new OpenTickets();

  private readonly ticketResends: ResendSchedule<OpenTicket>;

  private readonly reports = new Map<string, OpenReport>();

  private readonly reportResends: ResendSchedule<OpenReport>;

  private readonly takenGrants = new Set<string>();

  private readonly takenGrantExpiry: ResendSchedule<string>;

  private readonly cancels: CancelBatch;

  constructor(
    private readonly homes: HomeMap,
    private readonly network: PeerNetwork,
    private readonly clock: Clock,
  ) {
    super();
    this.ticketResends = new ResendSchedule(TICKET_WAITS_MS, clock);
    this.reportResends = new ResendSchedule(REPORT_WAITS_MS, clock);
    this.takenGrantExpiry = new ResendSchedule([GRANT_MEMORY_MS], clock);
    this.cancels = new CancelBatch(network);
    this.register(network.onMessage((received) => this.receive(received)));
    this.register(homes.onChange(() => this.moveTickets()));
    this.register(clock.every(TICK_MS, () => this.resend()));
  }

  /** Tickets that wait for a grant. */
  get waitingTickets(): number {
    return this.tickets.size;
  }

  /** Ends of grants that their homes have not acknowledged yet. */
  get openReports(): number {
    return this.reports.size;
  }

  /** Queues a ticket at its home; `settle` is called once, when it is granted or refused. */
  submit(ticket: Ticket, settle: (end: TicketEnd) => void): void {
    const open: OpenTicket = { ticket, settle, homeEntryId: undefined, refusedBy: [], tries: 0 };
    this.tickets.add(open);
    this.send(open);
  }

  /** Gives a ticket up: it is never settled, and a grant that comes anyhow is returned unused. */
  cancel(ticketId: string): void {
    const open = this.tickets.remove(ticketId);
    if (open?.homeEntryId !== undefined) this.cancels.add(open.homeEntryId, ticketId);
  }

  /** Tells the home how a grant ended, until the home has acknowledged it. */
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
      tries: 0,
    };
    this.reports.set(grantId, open);
    this.network.send(homeEntryId, report);
    this.reportResends.add(open, open.tries);
  }

  /** Resolves when all ends are acknowledged, after `mostMs` at the latest. */
  async drain(mostMs: number): Promise<void> {
    const untilMs = this.clock.monotonicMs() + mostMs;
    while (this.reports.size > 0 && this.clock.monotonicMs() < untilMs) {
      await this.clock.sleep(DRAIN_POLL_MS);
    }
  }

  private receive({ fromEntryId, message }: ReceivedMessage): void {
    if (message.kind === 'grant') this.settleGrant(fromEntryId, message);
    else if (message.kind === 'ticket-refused') this.settleRefusal(fromEntryId, message);
    else if (message.kind === 'tickets-returned') {
      message.ticketIds.forEach((ticketId) => this.tryNextHome(fromEntryId, ticketId));
    } else if (message.kind === 'grant-ended-ack') {
      message.grantIds.forEach((grantId) => this.reports.delete(grantId));
    }
  }

  private settleGrant(homeEntryId: EntryId, grant: Grant): void {
    if (this.takenGrants.has(grant.grantId)) return;
    this.takenGrants.add(grant.grantId);
    this.takenGrantExpiry.add(grant.grantId, 0);
    const open = this.tickets.remove(grant.ticketId);
    if (!open) {
      // A second grant of a ticket, or one that came after its cancellation.
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
    const homeIsLeaving = refusal.reason === 'fenced' || refusal.reason === 'stopping';
    if (homeIsLeaving && this.tryNextHome(homeEntryId, refusal.ticketId)) return;
    this.tickets.remove(refusal.ticketId);
    open.settle({ kind: 'refused', refusal });
  }

  /** Sends a ticket that its home gave back to the next one; false if all gave it back. */
  private tryNextHome(homeEntryId: EntryId, ticketId: string): boolean {
    const open = this.tickets.get(ticketId);
    if (!open) return false;
    open.refusedBy.push(homeEntryId);
    if (this.homeOf(open) === undefined) {
      open.refusedBy.length = 0;
      this.ticketResends.add(open, 1);
      return false;
    }
    this.send(open);
    return true;
  }

  private homeOf(open: OpenTicket): EntryId | undefined {
    const ranked = this.homes.rankedHomes(open.ticket.serviceId);
    if (open.refusedBy.length === 0) return ranked[0];
    return ranked.find((entryId) => !open.refusedBy.includes(entryId));
  }

  private send(open: OpenTicket): void {
    const home = this.homeOf(open);
    const sent = home !== undefined && this.network.send(home, open.ticket);
    Object.assign(open, {
      homeEntryId: sent ? home : undefined,
      tries: sent ? open.tries + 1 : open.tries,
    });
    this.ticketResends.add(open, sent ? open.tries : 0);
  }

  /** After a change of homes: only the tickets of services that moved are sent again. */
  private moveTickets(): void {
    this.tickets.services().forEach((serviceId) => {
      const [home] = this.homes.rankedHomes(serviceId);
      this.tickets.ofService(serviceId).forEach((open) => {
        if (open.homeEntryId === home) return;
        Object.assign(open, { refusedBy: [], tries: 0 });
        this.send(open);
      });
    });
  }

  private resend(): void {
    this.ticketResends.takeDue(MOST_RESENDS_PER_TICK).forEach((open) => {
      if (this.tickets.get(open.ticket.ticketId) === open) this.send(open);
    });
    this.takenGrantExpiry
      .takeDue(Number.MAX_SAFE_INTEGER)
      .forEach((grantId) => this.takenGrants.delete(grantId));
    this.reportResends.takeDue(MOST_RESENDS_PER_TICK).forEach((open) => this.resendReport(open));
  }

  /** The home that gave the grant, or the one that took over from it when it died. */
  private homeFor({ homeEntryId, report }: OpenReport): EntryId {
    if (this.homes.liveEntries().includes(homeEntryId)) return homeEntryId;
    return this.homes.rankedHomes(report.serviceId)[0] ?? homeEntryId;
  }

  private resendReport(open: OpenReport): void {
    const { grantId } = open.report;
    if (this.reports.get(grantId) !== open) return;
    if (this.clock.monotonicMs() - open.madeAtMs > REPORT_LIFE_MS) {
      // By now the home has freed the grant by its lease, or is gone.
      this.reports.delete(grantId);
      return;
    }
    Object.assign(open, { tries: open.tries + 1 });
    this.network.send(this.homeFor(open), open.report);
    this.reportResends.add(open, open.tries);
  }
}
