/**
 * Requests and caches tickets of the advice service, which permit a step to run on a target for a
 * limited time. One request is in flight at a time, because the service answers one call at a time
 * for each caller, and the coordinator is one caller.
 */
import { type Clock, Disposable, EventEmitter, type Logger } from '@acaciadock/core';
import { type AdviceService } from './contracts/index.js';
import { type FleetTarget } from './FleetTarget.js';

/** Targets per request. Each costs the service time, and this many are enough to place a step. */
const TARGETS_PER_REQUEST = 8;

/** Tickets are not used this long before they expire, in milliseconds: the order has to arrive. */
const EXPIRY_MARGIN_MS = 300;

/** Retry delay after a failure of the service, in milliseconds. */
const RETRY_MS = 200;

interface Ticket {
  readonly ticket: string;
  readonly bornMs: number;
  readonly validUntilMs: number;
}

interface StepAdvice {
  readonly tickets: Map<string, Ticket>;
  /** Targets that the service has refused for the step. A refusal is final. */
  readonly refused: Set<string>;
}

export class TicketCache extends Disposable {
  private readonly steps = new Map<string, StepAdvice>();

  /** Targets to request tickets for, by step id. */
  private readonly queuedRequests = new Map<string, readonly FleetTarget[]>();

  private isRequesting = false;

  private readonly arrivedEmitter = this.register(new EventEmitter<string>());

  /** Fires with a step's id when tickets for it have arrived. */
  readonly onArrived = this.arrivedEmitter.event;

  constructor(
    private readonly service: AdviceService,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  /** Filters `targets` to those with a valid ticket. */
  allowed(stepId: string, targets: readonly FleetTarget[]): FleetTarget[] {
    return targets.filter((target) => this.ticketFor(stepId, target) !== '');
  }

  /** The valid ticket for the target's current lifetime, or an empty string. */
  ticketFor(stepId: string, target: FleetTarget): string {
    const ticket = this.steps.get(stepId)?.tickets.get(target.targetId);
    if (!ticket || ticket.bornMs !== target.bornMs) return '';
    return ticket.validUntilMs - EXPIRY_MARGIN_MS > this.clock.monotonicMs() ? ticket.ticket : '';
  }

  /** Requests tickets for those targets that have not been refused. */
  request(stepId: string, targets: readonly FleetTarget[]): void {
    const refused = this.steps.get(stepId)?.refused;
    const candidates = targets.filter((target) => !refused?.has(target.targetId));
    if (candidates.length === 0) return;
    this.queuedRequests.set(stepId, candidates.slice(0, TARGETS_PER_REQUEST));
    if (!this.isRequesting) void this.processQueue();
  }

  /** Drops the tickets of a step that needs no more starts. */
  forget(stepId: string): void {
    this.steps.delete(stepId);
    this.queuedRequests.delete(stepId);
  }

  private async processQueue(): Promise<void> {
    this.isRequesting = true;
    while (this.queuedRequests.size > 0 && !this.isDisposed) {
      const [next] = this.queuedRequests;
      if (!next) break;
      const [stepId, targets] = next;
      this.queuedRequests.delete(stepId);
      await this.requestTickets(stepId, targets);
    }
    this.isRequesting = false;
  }

  private async requestTickets(stepId: string, targets: readonly FleetTarget[]): Promise<void> {
    const requestedMs = this.clock.monotonicMs();
    const answer = await this.service.advise(
      stepId,
      targets.map((target) => target.targetId),
    );
    if (answer.isErr()) {
      this.logger.warn('advice-failed', { stepId, reason: answer.error.detail });
      await this.clock.sleep(RETRY_MS);
      return;
    }
    const advice = this.steps.get(stepId) ?? { tickets: new Map(), refused: new Set() };
    this.steps.set(stepId, advice);
    const validUntilMs = requestedMs + answer.value.validityMs;
    const good = new Map(answer.value.tickets.map(({ targetId, ticket }) => [targetId, ticket]));
    targets.forEach((target) => {
      const ticket = good.get(target.targetId);
      if (ticket === undefined) advice.refused.add(target.targetId);
      else advice.tickets.set(target.targetId, { ticket, bornMs: target.bornMs, validUntilMs });
    });
    this.logger.info('advice', { stepId, asked: targets.length, good: good.size });
    this.arrivedEmitter.fire(stepId);
  }
}
