/**
 * The gateway's side of dispatching: sends tickets to the home of the service, sends them again
 * to the next home when the homes change, and reports how grants ended until that is acknowledged.
 */
import {
  type Clock,
  Disposable,
  type EntryId,
  type HomeMap,
  type ServiceId,
} from '@acaciadock/core';
import {
  type Grant,
  type GrantEnded,
  type GrantOutcome,
  type PeerNetwork,
  type ReceivedMessage,
  type Ticket,
  type TicketRefused,
} from '@acaciadock/peers';

const RESEND_PERIOD_MS = 500;

export type TicketEnd =
  | { readonly kind: 'granted'; readonly grant: Grant; readonly homeEntryId: EntryId }
  | { readonly kind: 'refused'; readonly refusal: TicketRefused };

interface OpenTicket {
  readonly ticket: Ticket;
  readonly settle: (end: TicketEnd) => void;
  homeEntryId: EntryId | undefined;
}

interface OpenReport {
  readonly homeEntryId: EntryId;
  readonly report: GrantEnded;
}

export class TicketDesk extends Disposable {
  private readonly tickets = new Map<string, OpenTicket>();

  private readonly reports = new Map<string, OpenReport>();

  constructor(
    private readonly homes: HomeMap,
    private readonly network: PeerNetwork,
    clock: Clock,
  ) {
    super();
    this.register(network.onMessage((received) => this.receive(received)));
    this.register(homes.onChange(() => this.resend()));
    this.register(clock.every(RESEND_PERIOD_MS, () => this.resend()));
  }

  /** Queues a ticket at its home; resolves when it is granted or refused. */
  submit(ticket: Ticket): Promise<TicketEnd> {
    return new Promise((settle) => {
      const open: OpenTicket = { ticket, settle, homeEntryId: undefined };
      this.tickets.set(ticket.ticketId, open);
      this.send(open);
    });
  }

  /** Gives a ticket up. Its promise never resolves. */
  cancel(ticketId: string): void {
    const open = this.tickets.get(ticketId);
    if (!open) return;
    this.tickets.delete(ticketId);
    if (!open.homeEntryId) return;
    this.network.send(open.homeEntryId, { kind: 'tickets-cancelled', ticketIds: [ticketId] });
  }

  /** Tells the home how a grant ended. */
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
    this.reports.set(grantId, { homeEntryId, report });
    this.network.send(homeEntryId, report);
  }

  private receive({ fromEntryId, message }: ReceivedMessage): void {
    if (message.kind === 'grant') this.settleGrant(fromEntryId, message);
    else if (message.kind === 'ticket-refused') this.settleRefusal(message);
    else if (message.kind === 'grant-ended-ack') {
      message.grantIds.forEach((grantId) => this.reports.delete(grantId));
    }
  }

  private settleGrant(homeEntryId: EntryId, grant: Grant): void {
    const open = this.tickets.get(grant.ticketId);
    if (!open) {
      this.end(homeEntryId, grant, 'not-started', 0);
      return;
    }
    this.tickets.delete(grant.ticketId);
    open.settle({ kind: 'granted', grant, homeEntryId });
  }

  private settleRefusal(refusal: TicketRefused): void {
    const open = this.tickets.get(refusal.ticketId);
    if (!open) return;
    this.tickets.delete(refusal.ticketId);
    open.settle({ kind: 'refused', refusal });
  }

  private homeOf(serviceId: ServiceId): EntryId | undefined {
    return this.homes.rankedHomes(serviceId)[0];
  }

  private send(open: OpenTicket): void {
    const home = this.homeOf(open.ticket.serviceId);
    if (home === undefined) return;
    const sent = this.network.send(home, open.ticket);
    Object.assign(open, { homeEntryId: sent ? home : undefined });
  }

  private resend(): void {
    this.tickets.forEach((open) => {
      if (open.homeEntryId === this.homeOf(open.ticket.serviceId)) return;
      this.send(open);
    });
    this.reports.forEach(({ homeEntryId, report }) => this.network.send(homeEntryId, report));
  }
}
