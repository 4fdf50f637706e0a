/** Models an entry's gateway: sends tickets, receives grants, and runs the work on the targets. */
import {
  type Clock,
  Disposable,
  type EntryId,
  type HomeMap,
  type ServiceId,
  type TeamId,
  type Urgency,
} from '@acaciadock/core';
import {
  type Grant,
  type GrantEnded,
  type GrantOutcome,
  type PeerNetwork,
  type ReceivedMessage,
  type Ticket,
} from '@acaciadock/peers';
import { type ModelTargets } from './ModelTargets.js';

/** Period of resending, and delay before a refused request is replaced by a new one. */
const RESEND_MS = 500;

export interface FleetRequest {
  readonly requestId: string;
  readonly serviceId: ServiceId;
  readonly teamId: TeamId;
  readonly urgency: Urgency;
  readonly runMs: number;
}

interface PendingReport {
  readonly homeEntryId: EntryId;
  readonly ended: GrantEnded;
}

interface OpenRequest {
  readonly request: FleetRequest;
  readonly ticket: Ticket;
  readonly onEnd: (request: FleetRequest) => void;
  /** The home to which the ticket was sent last; undefined if it has to be sent again. */
  sentTo: EntryId | undefined;
}

export class ModelGateway extends Disposable {
  private readonly open = new Map<string, OpenRequest>();

  private readonly reports = new Map<string, PendingReport>();

  private readonly startedTickets = new Set<string>();

  /** Number of requests that a home refused. */
  refused = 0;

  constructor(
    private readonly homes: HomeMap,
    private readonly network: PeerNetwork,
    private readonly targets: ModelTargets,
    private readonly clock: Clock,
  ) {
    super();
    this.register(network.onMessage((received) => this.receive(received)));
    this.register(clock.every(RESEND_MS, () => this.resend()));
    this.register(homes.onChange(() => this.resend()));
  }

  submit(request: FleetRequest, deadlineMs: number, onEnd: OpenRequest['onEnd']): void {
    const { requestId, serviceId, teamId, urgency } = request;
    const nowMs = this.clock.unixMs();
    const ticket: Ticket = {
      kind: 'ticket',
      ticketId: `${requestId}:1`,
      serviceId,
      teamId,
      urgency,
      acceptedAtMs: nowMs,
      deadlineAtMs: nowMs + deadlineMs,
      idempotent: true,
      attempt: 1,
      avoidTargetIds: [],
      avoidRackIds: [],
    };
    const open: OpenRequest = { request, ticket, onEnd, sentTo: undefined };
    this.open.set(ticket.ticketId, open);
    this.send(open);
  }

  /** The requests that wait or run here, which are lost when the entry is killed. */
  requests(): FleetRequest[] {
    return [...this.open.values()].map(({ request }) => request);
  }

  private send(open: OpenRequest): void {
    const home = this.homes.rankedHomes(open.ticket.serviceId)[0];
    if (home === undefined || !this.network.send(home, open.ticket)) return;
    Object.assign(open, { sentTo: home });
  }

  private resend(): void {
    this.reports.forEach((report) => this.sendReport(report));
    this.open.forEach((open) => {
      if (this.startedTickets.has(open.ticket.ticketId)) return;
      if (open.sentTo !== this.homes.rankedHomes(open.ticket.serviceId)[0]) this.send(open);
    });
  }

  private receive({ fromEntryId, message }: ReceivedMessage): void {
    if (message.kind === 'grant') this.start(fromEntryId, message);
    else if (message.kind === 'grant-ended-ack') {
      message.grantIds.forEach((grantId) => this.reports.delete(grantId));
    } else if (message.kind === 'ticket-refused') this.refuse(message.ticketId);
    else if (message.kind === 'tickets-returned') {
      message.ticketIds.forEach((ticketId) => {
        const open = this.open.get(ticketId);
        if (open) Object.assign(open, { sentTo: undefined });
      });
    }
  }

  private start(homeEntryId: EntryId, grant: Grant): void {
    const open = this.open.get(grant.ticketId);
    if (!open || this.startedTickets.has(grant.ticketId)) {
      this.report(homeEntryId, grant, 'not-started');
      return;
    }
    this.startedTickets.add(grant.ticketId);
    const { teamId, runMs } = open.request;
    const work = { targetId: grant.targetId, teamId, runMs };
    const ran = this.targets.run(work, () => this.end(homeEntryId, grant, open, 'succeeded'));
    if (!ran) this.end(homeEntryId, grant, open, 'target-refused');
  }

  private end(homeEntryId: EntryId, grant: Grant, open: OpenRequest, outcome: GrantOutcome): void {
    if (this.isDisposed) return;
    this.open.delete(grant.ticketId);
    this.startedTickets.delete(grant.ticketId);
    this.report(homeEntryId, grant, outcome);
    open.onEnd(open.request);
  }

  private refuse(ticketId: string): void {
    const open = this.open.get(ticketId);
    if (!open) return;
    this.refused += 1;
    this.open.delete(ticketId);
    this.clock.after(RESEND_MS, () => {
      if (!this.isDisposed) open.onEnd(open.request);
    });
  }

  private report(homeEntryId: EntryId, grant: Grant, outcome: GrantOutcome): void {
    const { grantId, serviceId, teamId, targetId, creditUseId, creditHolderEntryId } = grant;
    const ended: GrantEnded = {
      kind: 'grant-ended',
      grantId,
      serviceId,
      teamId,
      targetId,
      creditUseId,
      creditHolderEntryId,
      outcome,
      runMs: 0,
    };
    this.reports.set(grantId, { homeEntryId, ended });
    this.sendReport({ homeEntryId, ended });
  }

  /** Sends a report to the home that made the grant or, if that is dead, to the current home. */
  private sendReport({ homeEntryId, ended }: PendingReport): void {
    const live = this.homes.liveEntries().includes(homeEntryId);
    const next = this.homes.rankedHomes(ended.serviceId)[0] ?? homeEntryId;
    this.network.send(live ? homeEntryId : next, ended);
  }
}
