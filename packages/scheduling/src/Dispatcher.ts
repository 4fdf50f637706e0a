/**
 * The task that dispatches the pools whose home is this entry: queues tickets, grants runs as
 * turn, credits and slots allow, and holds each grant's slot and credit until its end is known or
 * its lease has lapsed. All messages of one turn are handled before anything is granted.
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
import { Broadcasts } from './Broadcasts.js';
import { ClosedTargets } from './ClosedTargets.js';
import { type DispatcherMessage, type DispatcherParts } from './DispatcherMessage.js';
import { DrainReporter } from './DrainReporter.js';
import { FleetUsage } from './FleetUsage.js';
import { ForeignWork } from './ForeignWork.js';
import { GatewayPulse } from './GatewayPulse.js';
import { GrantBook, type OpenGrant } from './GrantBook.js';
import { GrantMaker } from './GrantMaker.js';
import { PoolBoard } from './PoolBoard.js';
import { type PoolScheduler } from './PoolScheduler.js';
import { Takeover } from './Takeover.js';
import { TicketTable } from './TicketTable.js';
import { type Placement, type Refusal, type WaitingTicket } from './WaitingTicket.js';

const TICK_MS = 250;
const STATUS_TICKS = 2;
const USAGE_TICKS = 20;
const MOST_WAITING_TICKETS = 100_000;
const FENCED_RETRY_AFTER_MS = 1_000;

export class Dispatcher extends Task<DispatcherMessage> {
  private readonly board: PoolBoard;

  private readonly grants = new GrantBook();

  private readonly tickets = new TicketTable();

  private readonly foreign: ForeignWork;

  private readonly closed = new ClosedTargets();

  private readonly takeover: Takeover;

  private readonly pulse = new GatewayPulse();

  private readonly usage = new FleetUsage();

  private readonly acks: AckBatches;

  private readonly broadcasts: Broadcasts;

  private readonly maker: GrantMaker;

  private readonly dirty = new Set<PoolId>();

  private flushPosted = false;

  private stopping = false;

  private ticks = 0;

  constructor(private readonly parts: DispatcherParts) {
    super('dispatcher');
    const { config, credits, fence, homes, network, leaving, clock, random } = parts;
    this.board = new PoolBoard(clock, random);
    this.foreign = new ForeignWork(this.board, clock);
    this.acks = new AckBatches(network);
    this.maker = new GrantMaker(config, parts.incarnation);
    const drains = new DrainReporter(
      network.selfEntryId,
      this.board,
      homes,
      this.grants,
      this.foreign,
      clock,
    );
    this.broadcasts = new Broadcasts(homes, network, drains);
    this.board.configure(config.state().document);
    this.takeover = new Takeover(network.selfEntryId, homes, clock, this.board.poolIds());
    this.closed.setListed(leaving.leaving);
    this.board.setLeaving(this.closed.all());
    this.register(network.onMessage((received) => this.post({ kind: 'received', received })));
    this.register(credits.onAvailable((teamId) => this.post({ kind: 'credits', teamId })));
    this.register(config.onChange(() => this.post({ kind: 'configured' })));
    this.register(leaving.onChange((ids) => this.post({ kind: 'listed', leaving: ids })));
    this.register(homes.onChange(() => this.post({ kind: 'homes-changed' })));
    this.register(fence.onChange(() => this.post({ kind: 'tick' })));
    this.register(clock.every(TICK_MS, () => this.post({ kind: 'tick' })));
  }

  /** Gives all waiting tickets back and takes no more. Open grants are still followed. */
  stop(): void {
    this.post({ kind: 'stop' });
  }

  /** Tickets that wait here. */
  get waitingTickets(): number {
    return this.tickets.size;
  }

  /** Grants that are open here. */
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
        this.board.configure(this.parts.config.state().document);
        this.markAllDirty();
        break;
      case 'listed':
        this.closed.setListed(message.leaving);
        this.applyClosed();
        break;
      case 'homes-changed':
        this.takeover.update(this.board.poolIds());
        this.dropDead();
        this.returnForeign();
        break;
      case 'checkpoint-failed':
        this.board.of(message.poolId)?.keepRunning(message.placement);
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
    if (this.pulse.hear(fromEntryId, message.kind === 'grants-taken')) this.requeueAside();
    if (message.kind === 'ticket') this.takeTicket(message, fromEntryId);
    else if (message.kind === 'tickets-cancelled') this.cancel(message.ticketIds);
    else if (message.kind === 'grant-ended') this.takeEnd(fromEntryId, message);
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

  private takeTicket(ticket: Ticket, gatewayEntryId: EntryId): void {
    if (this.isKnown(ticket, gatewayEntryId)) return;
    const refusal = this.refusalOf() ?? this.offer(ticket, gatewayEntryId);
    if (!refusal) return;
    const { ticketId } = ticket;
    this.parts.network.send(gatewayEntryId, { kind: 'ticket-refused', ticketId, ...refusal });
  }

  /** A ticket that came before: its open grant is sent again. */
  private isKnown({ ticketId }: Ticket, gatewayEntryId: EntryId): boolean {
    const open = this.grants.ofTicket(ticketId);
    if (open && open.grant.startByMs > this.parts.clock.unixMs()) {
      this.parts.network.send(gatewayEntryId, open.grant);
    }
    return open !== undefined || this.tickets.has(ticketId) || this.grants.hasEnded(ticketId);
  }

  private refusalOf(): Refusal | undefined {
    const retryAfterMs = FENCED_RETRY_AFTER_MS;
    if (this.stopping) return { reason: 'stopping', retryAfterMs };
    if (this.parts.fence.reason()) return { reason: 'fenced', retryAfterMs };
    if (this.tickets.size >= MOST_WAITING_TICKETS) return { reason: 'queue-full', retryAfterMs };
    return undefined;
  }

  private offer(ticket: Ticket, gatewayEntryId: EntryId): Refusal | undefined {
    const poolId = this.parts.config.state().document.services[ticket.serviceId]?.poolId;
    const pool = poolId === undefined ? undefined : this.board.of(poolId);
    if (poolId === undefined || !pool) {
      return { reason: 'no-target-fits', retryAfterMs: FENCED_RETRY_AFTER_MS };
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

  private takeEnd(fromEntryId: EntryId, ended: GrantEnded): void {
    const open = this.grants.get(ended.grantId);
    if (!open) this.endForeign(fromEntryId, ended.grantId);
    else if (ended.outcome !== 'unknown') this.end(open, ended.outcome);
    else if (!open.unknown) {
      // The work may still run: its slot and credit wait for the lease to lapse.
      open.unknown = true;
      this.board.of(open.poolId)?.suspect(open.placement);
    }
    this.acks.add(fromEntryId, ended.grantId);
    this.postFlush();
  }

  private endForeign(gatewayEntryId: EntryId, grantId: string): void {
    this.foreign.end(gatewayEntryId, grantId);
    this.markAllDirty();
  }

  private end(open: OpenGrant, outcome: GrantOutcome | 'lapsed'): void {
    const { grant, placement, poolId } = open;
    const heldMs = this.parts.clock.monotonicMs() - placement.startedAtMs;
    if (outcome !== 'lapsed') this.usage.addLocal(poolId, grant.teamId, heldMs);
    this.grants.remove(grant.grantId, outcome !== 'lapsed' || open.unknown);
    this.parts.credits.release(grant.creditUseId);
    this.board.of(poolId)?.end(placement, outcome);
    this.markDirty(poolId);
  }

  private dispatch(poolId: PoolId): void {
    const pool = this.board.of(poolId);
    if (!pool || this.takeover.isGathering(poolId)) return;
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
    const grant = this.maker.make(placement);
    if (
      this.pulse.mayGrant(waiting.gatewayEntryId) &&
      this.parts.network.send(waiting.gatewayEntryId, grant)
    ) {
      this.tickets.remove(waiting.ticketId);
      this.grants.add({ grant, placement, poolId, unknown: false });
      return;
    }
    // Nothing was sent, so nothing can run: the ticket waits aside till its gateway is back.
    pool.undo(placement);
    this.parts.credits.release(creditUse.useId);
    this.tickets.setAside(waiting);
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
    this.foreign.lapse(nowMs);
    if (this.closed.lapse(this.parts.clock.monotonicMs())) this.applyClosed();
    this.requeueAside();
    this.expire();
    if (this.ticks % STATUS_TICKS === 0) this.broadcasts.tellDrains();
    if (this.ticks % USAGE_TICKS === 0) this.tellUsage();
    this.markAllDirty();
  }

  /** Tries again with the gateways that could not be reached or were not heard. */
  private requeueAside(): void {
    const nowMs = this.parts.clock.unixMs();
    this.tickets.takeAside().forEach((waiting) => {
      const poolId = this.tickets.poolOf(waiting.ticketId);
      if (poolId === undefined) return;
      if (waiting.ticket.deadlineAtMs <= nowMs) this.tickets.remove(waiting.ticketId);
      else {
        this.board.of(poolId)?.requeue(waiting);
        this.markDirty(poolId);
      }
    });
  }

  private expire(): void {
    for (const [, pool] of this.board.all()) {
      pool.takeExpired().forEach(({ ticketId, gatewayEntryId }) => {
        this.tickets.remove(ticketId);
        this.parts.network.send(gatewayEntryId, {
          kind: 'ticket-refused',
          ticketId,
          reason: 'deadline-unreachable',
          retryAfterMs: FENCED_RETRY_AFTER_MS,
        });
      });
      pool.tick();
    }
  }

  private tellUsage(): void {
    const { charges, local } = this.usage.collect();
    this.board.charge(charges);
    this.broadcasts.tellUsage(local);
  }

  private resume(teamId: TeamId): void {
    for (const [poolId, pool] of this.board.all()) {
      pool.resumeTeam(teamId);
      this.markDirty(poolId);
    }
  }

  private applyClosed(): void {
    this.board.setLeaving(this.closed.all());
    this.markAllDirty();
  }

  /** Drops the tickets of gateways that are gone: nobody waits for them any more. */
  private dropDead(): void {
    const live = new Set(this.parts.homes.liveEntries());
    this.pulse.retain([...live]);
    const isDead = ({ gatewayEntryId }: WaitingTicket): boolean => !live.has(gatewayEntryId);
    const waiting = [...this.board.all()].flatMap(([, pool]) => pool.waitingTickets());
    const dead = [...waiting, ...this.tickets.aside()].filter(isDead);
    this.cancel(dead.map(({ ticketId }) => ticketId));
  }

  /** Gives back the tickets of pools whose home is another entry now. */
  private returnForeign(): void {
    const { homes, network } = this.parts;
    for (const [poolId, pool] of this.board.all()) {
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
    return this.tickets.remove(ticketId) ?? this.board.of(poolId)?.cancel(ticketId);
  }

  private markAllDirty(): void {
    for (const [poolId] of this.board.all()) this.markDirty(poolId);
  }

  private markDirty(poolId: PoolId): void {
    this.dirty.add(poolId);
    this.postFlush();
  }

  /** The flush comes after all messages that are in the mailbox now. */
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
