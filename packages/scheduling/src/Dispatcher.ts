/**
 * The task that dispatches the services whose home is this entry: it queues tickets and grants
 * each one a run on a target, as credits and slots allow.
 */
import {
  type Clock,
  type CreditSource,
  type EntryId,
  type Fence,
  type IDisposable,
  type ServiceId,
  Task,
} from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import {
  type Grant,
  type GrantEnded,
  MAX_CLOCK_SKEW_MS,
  type PeerNetwork,
  type ReceivedMessage,
  type Ticket,
  type TicketRefusalReason,
} from '@acaciadock/peers';
import { TargetSlots } from './TargetSlots.js';

/** How long a gateway may take from the grant to the send. */
const START_WINDOW_MS = 1_000;
const RETRY_AFTER_MS = 1_000;

interface Waiting {
  readonly ticket: Ticket;
  readonly gatewayEntryId: EntryId;
}

interface Running {
  readonly grant: Grant;
  readonly lapse: IDisposable;
}

type DispatcherMessage =
  | { readonly kind: 'received'; readonly received: ReceivedMessage }
  | { readonly kind: 'wake' }
  | { readonly kind: 'lapsed'; readonly grantId: string };

export class Dispatcher extends Task<DispatcherMessage> {
  private waiting: Waiting[] = [];

  private readonly running = new Map<string, Running>();

  private readonly slots = new TargetSlots();

  private nextGrant = 0;

  constructor(
    private readonly config: ConfigView,
    private readonly credits: CreditSource,
    private readonly fence: Fence,
    private readonly network: PeerNetwork,
    private readonly clock: Clock,
    private readonly incarnation: string,
  ) {
    super('dispatcher');
    this.register(network.onMessage((received) => this.post({ kind: 'received', received })));
    this.register(credits.onAvailable(() => this.post({ kind: 'wake' })));
    this.register(config.onChange(() => this.post({ kind: 'wake' })));
  }

  protected override handle(message: DispatcherMessage): void {
    if (message.kind === 'received') this.receive(message.received);
    else if (message.kind === 'lapsed') this.end(message.grantId);
    else this.dispatch();
  }

  private receive({ fromEntryId, message }: ReceivedMessage): void {
    if (message.kind === 'ticket') this.enqueue({ ticket: message, gatewayEntryId: fromEntryId });
    else if (message.kind === 'tickets-cancelled') this.cancel(new Set(message.ticketIds));
    else if (message.kind === 'grant-ended') this.acknowledge(fromEntryId, message);
  }

  private enqueue(waiting: Waiting): void {
    const { document } = this.config.state();
    if (!document.services[waiting.ticket.serviceId]) {
      this.refuse(waiting, 'no-target-fits');
      return;
    }
    if (this.fence.reason()) {
      this.refuse(waiting, 'fenced');
      return;
    }
    this.waiting.push(waiting);
    this.dispatch();
  }

  private refuse({ ticket, gatewayEntryId }: Waiting, reason: TicketRefusalReason): void {
    const { ticketId } = ticket;
    const retryAfterMs = RETRY_AFTER_MS;
    this.network.send(gatewayEntryId, { kind: 'ticket-refused', ticketId, reason, retryAfterMs });
  }

  private cancel(ticketIds: ReadonlySet<string>): void {
    this.waiting = this.waiting.filter(({ ticket }) => !ticketIds.has(ticket.ticketId));
  }

  private dispatch(): void {
    if (this.fence.reason()) return;
    const nowMs = this.clock.unixMs();
    const kept: Waiting[] = [];
    this.waiting.forEach((waiting) => {
      if (waiting.ticket.deadlineAtMs <= nowMs) this.refuse(waiting, 'deadline-unreachable');
      else if (!this.tryGrant(waiting)) kept.push(waiting);
    });
    this.waiting = kept;
  }

  private tryGrant({ ticket, gatewayEntryId }: Waiting): boolean {
    const { document } = this.config.state();
    const service = document.services[ticket.serviceId];
    if (!service) return false;
    const target = this.slots.pick(document, service, new Set(ticket.avoidTargetIds));
    if (!target) return false;
    const use = this.credits.tryAcquire(ticket.teamId);
    if (!use) {
      this.credits.want(ticket.teamId, 1);
      return false;
    }
    const startByMs = this.clock.unixMs() + START_WINDOW_MS;
    const grant: Grant = {
      kind: 'grant',
      ticketId: ticket.ticketId,
      grantId: this.newGrantId(ticket.serviceId),
      serviceId: ticket.serviceId,
      teamId: ticket.teamId,
      targetId: target.targetId,
      startByMs,
      leaseExpiresAtMs: startByMs + service.taskLeaseMs,
      creditUseId: use.useId,
      creditHolderEntryId: use.holderEntryId,
      creditEpoch: use.epoch,
    };
    this.hold(grant);
    this.network.send(gatewayEntryId, grant);
    return true;
  }

  private newGrantId(serviceId: ServiceId): string {
    this.nextGrant += 1;
    return `${serviceId}:${this.incarnation}:${this.nextGrant}`;
  }

  private hold(grant: Grant): void {
    this.slots.take(grant.targetId);
    const lapseMs = grant.leaseExpiresAtMs + MAX_CLOCK_SKEW_MS - this.clock.unixMs();
    const lapse = this.clock.after(lapseMs, () => {
      this.post({ kind: 'lapsed', grantId: grant.grantId });
    });
    this.running.set(grant.grantId, { grant, lapse });
  }

  private acknowledge(fromEntryId: EntryId, ended: GrantEnded): void {
    // The work of an unknown outcome may still run: its credit waits for the lease to lapse.
    if (ended.outcome !== 'unknown') this.end(ended.grantId);
    this.network.send(fromEntryId, { kind: 'grant-ended-ack', grantIds: [ended.grantId] });
  }

  private end(grantId: string): void {
    const ended = this.running.get(grantId);
    if (!ended) return;
    this.running.delete(grantId);
    ended.lapse.dispose();
    this.slots.free(ended.grant.targetId);
    this.credits.release(ended.grant.creditUseId);
    this.dispatch();
  }
}
