/**
 * The task that dispatches the pools whose home is this entry. It queues tickets, grants runs as
 * fair queueing, credits and free slots allow, and holds the slot and the credit of each grant
 * until the end of the run is known or its lease has expired. All messages already in the mailbox
 * are handled before anything is granted.
 */
import { type EntryId, type PoolId, Task, type TeamId } from '@acaciadock/core';
import {
  type GrantEnded,
  type GrantOutcome,
  type ReceivedMessage,
  requestIdOf,
  type Ticket,
} from '@acaciadock/peers';
import { AckBatches } from './AckBatches.js';
import { StatusBroadcaster } from './StatusBroadcaster.js';
import { ClosedTargets } from './ClosedTargets.js';
import { type DispatcherMessage, type DispatcherParts } from './DispatcherMessage.js';
import { DrainReporter } from './DrainReporter.js';
import { FleetUsage } from './FleetUsage.js';
import { ForeignGrants } from './ForeignGrants.js';
import { GatewayLiveness } from './GatewayLiveness.js';
import { OpenGrants, type OpenGrant } from './OpenGrants.js';
import { GrantFactory } from './GrantFactory.js';
import { PoolSchedulers } from './PoolSchedulers.js';
import { type PoolScheduler } from './PoolScheduler.js';
import { TakeoverDelay } from './TakeoverDelay.js';
import { TicketTable } from './TicketTable.js';
import { type Placement, type Refusal, type WaitingTicket } from './WaitingTicket.js';

const TICK_MS = 250;
/** The drain status is sent every 500 ms; `FleetWork` uses a status for several times as long. */
const DRAIN_STATUS_TICKS = 2;
/** The slot time used by teams is exchanged every 5 s. */
const USAGE_TICKS = 20;
const MAX_WAITING_TICKETS = 100_000;
const DEFAULT_RETRY_AFTER_MS = 1_000;

export class Dispatcher extends Task<DispatcherMessage> {
  private readonly schedulers: PoolSchedulers;

  private readonly grants = new OpenGrants();

  private readonly tickets = new TicketTable();

  private readonly foreign: ForeignGrants;

  private readonly closed = new ClosedTargets();

  private readonly takeoverDelay: TakeoverDelay;

  private readonly liveness = new GatewayLiveness();

  private readonly usage = new FleetUsage();

  private readonly acks: AckBatches;

  private readonly broadcaster: StatusBroadcaster;

  private readonly grantFactory: GrantFactory;

  private readonly dirty = new Set<PoolId>();

  private flushPosted = false;

  private stopping = false;

  private ticks = 0;

  constructor(private readonly parts: DispatcherParts) {
    super('dispatcher');
    const { config, credits, fence, homes, network, leaving, clock, random } = parts;
    this.schedulers = new PoolSchedulers(clock, random);
    this.foreign = new ForeignGrants(this.schedulers, clock);
    this.acks = new AckBatches(network);
    this.grantFactory = new GrantFactory(config, parts.incarnation);
    const drainReporter = new DrainReporter(
      network.selfEntryId,
      this.schedulers,
      homes,
      this.grants,
      this.foreign,
      clock,
    );
    this.broadcaster = new StatusBroadcaster(homes, network, drainReporter);
    this.schedulers.configure(config.state().document);
    this.takeoverDelay = new TakeoverDelay(
      network.selfEntryId,
      homes,
      clock,
      this.schedulers.poolIds(),
    );
    this.closed.setLeaving(leaving.leaving);
    this.schedulers.setClosed(this.closed.all());
    this.register(network.onMessage((received) => this.post({ kind: 'received', received })));
    this.register(credits.onAvailable((teamId) => this.post({ kind: 'credits', teamId })));
    this.register(config.onChange(() => this.post({ kind: 'configured' })));
    this.register(leaving.onChange((ids) => this.post({ kind: 'listed', leaving: ids })));
    this.register(homes.onChange(() => this.post({ kind: 'homes-changed' })));
    this.register(fence.onChange(() => this.post({ kind: 'tick' })));
    this.register(clock.every(TICK_MS, () => this.post({ kind: 'tick' })));
  }

  /** Returns all waiting tickets and refuses new ones. Open grants are still tracked. */
  stop(): void {
    this.post({ kind: 'stop' });
  }

  /** Number of waiting tickets. */
  get waitingTickets(): number {
    return this.tickets.size;
  }

  /** Number of open grants. */
  get openGrants(): number {
    return this.grants.size;
  }

  protected override handle(message: DispatcherMessage): void {
    switch (message.kind) {
      case 'received':
        this.receive(message.received);
        break;
      case 'credits':
        this.resume(message.teamId);
        break;
      case 'configured':
        this.schedulers.configure(this.parts.config.state().document);
        this.markAllDirty();
        break;
      case 'listed':
        this.closed.setLeaving(message.leaving);
        this.applyClosed();
        break;
      case 'homes-changed':
        this.takeoverDelay.update(this.schedulers.poolIds());
        this.dropDepartedGateways();
        this.returnMovedPools();
        break;
      case 'checkpoint-failed':
        this.schedulers.of(message.poolId)?.abandonPreemption(message.placement);
        break;
      case 'tick':
        this.tick();
        break;
      case 'stop':
        this.stopping = true;
        this.returnTickets([...this.tickets.waiting()]);
        break;
      case 'flush':
        this.flush();
        break;
      default:
    }
  }

  private receive({ fromEntryId, message }: ReceivedMessage): void {
    if (this.liveness.record(fromEntryId, message.kind === 'grants-taken')) this.requeueSuspended();
    if (message.kind === 'ticket') this.handleTicket(message, fromEntryId);
    else if (message.kind === 'tickets-cancelled') this.cancel(message.ticketIds);
    else if (message.kind === 'grant-ended') this.handleGrantEnded(fromEntryId, message);
    else if (message.kind === 'work-report') {
      const unknown = message.grants.filter(({ grantId }) => !this.grants.get(grantId));
      this.foreign.report(fromEntryId, unknown);
      this.markAllDirty();
    } else if (message.kind === 'targets-closed') {
      this.closed.close(fromEntryId, message.instanceIds, this.parts.clock.monotonicMs());
      this.applyClosed();
    } else if (message.kind === 'team-usage' && fromEntryId !== this.parts.network.selfEntryId) {
      this.usage.addRemote(message.teams);
    }
  }

  /**
   * Queues or refuses a ticket of any pool, also if its home is another entry: a gateway sends a
   * ticket to the next ranked entry while the home is fenced or stopping.
   */
  private handleTicket(ticket: Ticket, gatewayEntryId: EntryId): void {
    if (this.isDuplicate(ticket, gatewayEntryId)) return;
    const refusal = this.refusalOf() ?? this.offer(ticket, gatewayEntryId);
    if (!refusal) return;
    const { ticketId } = ticket;
    this.parts.network.send(gatewayEntryId, { kind: 'ticket-refused', ticketId, ...refusal });
  }

  /** Whether the ticket arrived before. If it has an open grant, the grant is sent again. */
  private isDuplicate({ ticketId }: Ticket, gatewayEntryId: EntryId): boolean {
    const open = this.grants.ofTicket(ticketId);
    if (open && open.grant.startByMs > this.parts.clock.unixMs()) {
      this.parts.network.send(gatewayEntryId, open.grant);
    }
    return open !== undefined || this.tickets.has(ticketId) || this.grants.hasEnded(ticketId);
  }

  private refusalOf(): Refusal | undefined {
    const retryAfterMs = DEFAULT_RETRY_AFTER_MS;
    if (this.stopping) return { reason: 'stopping', retryAfterMs };
    if (this.parts.fence.reason()) return { reason: 'fenced', retryAfterMs };
    if (this.tickets.size >= MAX_WAITING_TICKETS) return { reason: 'queue-full', retryAfterMs };
    return undefined;
  }

  private offer(ticket: Ticket, gatewayEntryId: EntryId): Refusal | undefined {
    const poolId = this.parts.config.state().document.services[ticket.serviceId]?.poolId;
    const pool = poolId === undefined ? undefined : this.schedulers.of(poolId);
    if (poolId === undefined || !pool) {
      return { reason: 'no-target-fits', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    }
    const refusal = pool.offer(ticket, gatewayEntryId);
    if (refusal) return refusal;
    this.tickets.add(ticket.ticketId, poolId);
    this.markDirty(poolId);
    return undefined;
  }

  private cancel(ticketIds: readonly string[]): void {
    ticketIds.forEach((ticketId) => this.withdraw(ticketId));
  }

  private handleGrantEnded(fromEntryId: EntryId, ended: GrantEnded): void {
    const open = this.grants.get(ended.grantId);
    if (!open) this.endForeignGrant(fromEntryId, ended.grantId);
    else if (ended.outcome !== 'unknown') this.end(open, ended.outcome);
    else if (!open.unknown) {
      // The work may still run, so its slot and credit stay in use until the lease expires.
      open.unknown = true;
      this.schedulers.of(open.poolId)?.recordUnknownOutcome(open.placement);
    }
    this.acks.add(fromEntryId, ended.grantId);
    this.postFlush();
  }

  private endForeignGrant(gatewayEntryId: EntryId, grantId: string): void {
    this.foreign.end(gatewayEntryId, grantId);
    this.markAllDirty();
  }

  private end(open: OpenGrant, outcome: GrantOutcome | 'lapsed'): void {
    const { grant, placement, poolId } = open;
    const heldMs = this.parts.clock.monotonicMs() - placement.startedAtMs;
    if (outcome !== 'lapsed') this.usage.addLocal(poolId, grant.teamId, heldMs);
    // If the gateway reported nothing until the lease expired, the grant may have been lost. A
    // gateway that still waits sends its ticket again, so the ticket may be granted once more.
    this.grants.remove(grant.grantId, outcome !== 'lapsed' || open.unknown);
    this.parts.credits.release(grant.creditUseId);
    this.schedulers.of(poolId)?.end(placement, outcome);
    this.markDirty(poolId);
  }

  private dispatch(poolId: PoolId): void {
    const pool = this.schedulers.of(poolId);
    if (!pool || this.takeoverDelay.isDelayed(poolId)) return;
    for (;;) {
      if (this.parts.fence.reason()) return;
      const placement = pool.next(this.parts.credits);
      if (!placement) break;
      this.grant(poolId, pool, placement);
    }
    pool.runsToPreempt().forEach((placement) => {
      void this.checkpoint(poolId, placement);
    });
  }

  private grant(poolId: PoolId, pool: PoolScheduler, placement: Placement): void {
    const { waiting, creditUse } = placement;
    const grant = this.grantFactory.create(placement);
    if (
      this.liveness.mayGrant(waiting.gatewayEntryId) &&
      this.parts.network.send(waiting.gatewayEntryId, grant)
    ) {
      this.tickets.remove(waiting.ticketId);
      this.grants.add({ grant, placement, poolId, unknown: false });
      return;
    }
    // The grant was not sent, so nothing can run. The ticket is suspended and retried later.
    pool.undo(placement);
    this.parts.credits.release(creditUse.useId);
    this.tickets.suspend(waiting);
  }

  private async checkpoint(poolId: PoolId, placement: Placement): Promise<void> {
    const { waiting, targetId } = placement;
    const operationId = `checkpoint:${waiting.ticketId}`;
    const requestId = requestIdOf(waiting.ticketId);
    const done = await this.parts.control.checkpoint(operationId, targetId, requestId);
    if (done.isErr()) this.post({ kind: 'checkpoint-failed', poolId, placement });
  }

  private tick(): void {
    this.ticks += 1;
    const nowMs = this.parts.clock.unixMs();
    this.grants.lapsed(nowMs).forEach((grantId) => {
      const open = this.grants.get(grantId);
      if (open) this.end(open, 'lapsed');
    });
    this.foreign.expire(nowMs);
    if (this.closed.expire(this.parts.clock.monotonicMs())) this.applyClosed();
    this.requeueSuspended();
    this.expireTickets();
    if (this.ticks % DRAIN_STATUS_TICKS === 0) this.broadcaster.broadcastDrainStatus();
    if (this.ticks % USAGE_TICKS === 0) this.exchangeUsage();
    this.markAllDirty();
  }

  /** Queues the suspended tickets again, whose gateways were unreachable or did not respond. */
  private requeueSuspended(): void {
    const nowMs = this.parts.clock.unixMs();
    this.tickets.takeSuspended().forEach((waiting) => {
      const poolId = this.tickets.poolOf(waiting.ticketId);
      if (poolId === undefined) return;
      if (waiting.ticket.deadlineAtMs <= nowMs) this.tickets.remove(waiting.ticketId);
      else {
        this.schedulers.of(poolId)?.requeue(waiting);
        this.markDirty(poolId);
      }
    });
  }

  private expireTickets(): void {
    for (const [, pool] of this.schedulers.all()) {
      pool.takeExpired().forEach(({ ticketId, gatewayEntryId }) => {
        this.tickets.remove(ticketId);
        this.parts.network.send(gatewayEntryId, {
          kind: 'ticket-refused',
          ticketId,
          reason: 'deadline-unreachable',
          retryAfterMs: DEFAULT_RETRY_AFTER_MS,
        });
      });
      pool.tick();
    }
  }

  private exchangeUsage(): void {
    const { charges, local } = this.usage.collect();
    this.schedulers.charge(charges);
    this.broadcaster.broadcastUsage(local);
  }

  private resume(teamId: TeamId): void {
    for (const [poolId, pool] of this.schedulers.all()) {
      pool.resumeTeam(teamId);
      this.markDirty(poolId);
    }
  }

  private applyClosed(): void {
    this.schedulers.setClosed(this.closed.all());
    this.markAllDirty();
  }

  /** Drops the tickets of gateways that are no longer members: nobody waits for them any more. */
  private dropDepartedGateways(): void {
    const live = new Set(this.parts.homes.liveEntries());
    this.liveness.retain([...live]);
    const isDeparted = ({ gatewayEntryId }: WaitingTicket): boolean => !live.has(gatewayEntryId);
    const waiting = [...this.schedulers.all()].flatMap(([, pool]) => pool.waitingTickets());
    const departed = [...waiting, ...this.tickets.suspended()].filter(isDeparted);
    this.cancel(departed.map(({ ticketId }) => ticketId));
  }

  /** Returns the tickets of pools whose home is now another entry to their gateways. */
  private returnMovedPools(): void {
    const { homes, network } = this.parts;
    for (const [poolId, pool] of this.schedulers.all()) {
      if (homes.homeOfPool(poolId) === network.selfEntryId) continue;
      this.returnTickets(pool.waitingTickets().map(({ ticketId }) => ticketId));
    }
  }

  private returnTickets(ticketIds: readonly string[]): void {
    const byGateway = new Map<EntryId, string[]>();
    ticketIds.forEach((ticketId) => {
      const gatewayEntryId = this.withdraw(ticketId)?.gatewayEntryId;
      if (gatewayEntryId === undefined) return;
      byGateway.set(gatewayEntryId, [...(byGateway.get(gatewayEntryId) ?? []), ticketId]);
    });
    byGateway.forEach((returned, entryId) => {
      this.parts.network.send(entryId, { kind: 'tickets-returned', ticketIds: returned });
    });
  }

  private withdraw(ticketId: string): WaitingTicket | undefined {
    const poolId = this.tickets.poolOf(ticketId);
    if (poolId === undefined) return undefined;
    return this.tickets.remove(ticketId) ?? this.schedulers.of(poolId)?.cancel(ticketId);
  }

  private markAllDirty(): void {
    for (const [poolId] of this.schedulers.all()) this.markDirty(poolId);
  }

  private markDirty(poolId: PoolId): void {
    this.dirty.add(poolId);
    this.postFlush();
  }

  /** Posts a flush, which is handled after all messages that are already in the mailbox. */
  private postFlush(): void {
    if (this.flushPosted) return;
    this.flushPosted = this.post({ kind: 'flush' });
  }

  private flush(): void {
    this.flushPosted = false;
    this.acks.flush();
    const poolIds = [...this.dirty];
    this.dirty.clear();
    poolIds.forEach((poolId) => this.dispatch(poolId));
  }
}
